#ifndef PAPAYAGLADE_COORDINATION_FEED_PLAN_H_
#define PAPAYAGLADE_COORDINATION_FEED_PLAN_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace papayaglade {

/// Which call to the store a feed makes next, how long it waits for the
/// answer, and how soon after an end it calls again.
class feed_plan {
 public:
  struct call {
    bool is_list = true;
    std::string after_name;                ///< Of a list: the last name seen.
    std::int64_t revision = 0;             ///< Of a watch.
    std::chrono::milliseconds wait{0};     ///< The store may hold a watch.
    std::chrono::milliseconds timeout{0};  ///< Then the call is given up.
  };

  /// `wait` is how long the store may hold a watch while all is well.
  explicit feed_plan(std::chrono::milliseconds wait) : watch_wait_(wait) {}

  call Next() const;

  /// Each returns after how long the next call is due.
  std::chrono::milliseconds OnPage(std::int64_t revision, bool more,
                                   const std::string& last_name);
  std::chrono::milliseconds OnEvents(std::int64_t revision, std::size_t count);
  std::chrono::milliseconds OnHistoryGone();
  std::chrono::milliseconds OnFailure();

  /// The state as of `revision` came from elsewhere: watches go on from there.
  void SkipTo(std::int64_t revision);

  bool IsListing() const { return is_listing_; }
  /// Whether the last call failed.
  bool LastCallFailed() const { return last_call_failed_; }
  std::int64_t Revision() const { return revision_; }

 private:
  std::chrono::milliseconds watch_wait_;
  std::string last_name_;
  std::int64_t revision_ = 0;
  bool is_listing_ = true;
  bool last_call_failed_ = false;
  std::chrono::milliseconds backoff_{0};
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_FEED_PLAN_H_
