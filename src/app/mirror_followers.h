#ifndef PAPAYAGLADE_APP_MIRROR_FOLLOWERS_H_
#define PAPAYAGLADE_APP_MIRROR_FOLLOWERS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/structured_log.h"
#include "state/mirror_message.h"
#include "transport/instance_links.h"

namespace papayaglade {

/// The instances that follow this one, and what they are sent. A page that a
/// follower cannot take now is deferred: the follower is not sent it, but asks
/// for what it lacks when the next report shows it that it lacks something. The
/// pages that links hold are therefore bounded by the size of the copy,
/// whatever the number of followers and of changes.
class mirror_followers {
 public:
  mirror_followers(structured_log& log, instance_links& links)
      : log_(log), links_(links) {}

  /// Adds a follower, or notes that it still follows. Returns whether it is
  /// new.
  bool Add(instance_links::id link, const std::string& instance,
           monotonic_time now);
  /// Removes the follower whose link has closed, if it is one.
  void Remove(instance_links::id link, const std::string& why);
  /// Closes the links of the followers that have not subscribed for long.
  void RemoveExpired(monotonic_time now);
  /// Closes all links.
  void CloseAll();

  /// Sends a page to all followers. `copy_bytes` is the size of the copy that
  /// followers can ask for.
  void Send(const mirror_page& page, std::size_t copy_bytes);
  /// Sends a follower the changes that it lacks, and logs how large they are.
  void SendMissed(instance_links::id link, const mirror_page& page,
                  std::size_t copy_bytes);
  /// Sends a report to all followers.
  void Send(const source_report& report);

  std::size_t Size() const { return followers_.size(); }
  /// Returns how many pages were deferred, counted for each follower.
  std::uint64_t DeferredPageCount() const { return deferred_pages_; }
  /// Returns the bytes of the pages that links hold.
  std::size_t UnsentPageBytes() const { return unsent_pages_.Bytes(); }

 private:
  struct follower {
    std::string instance;
    monotonic_time last_subscription;
  };
  struct encoded_page {
    mirror_page header;  ///< The page without its objects.
    std::weak_ptr<link_frame> frame;
  };

  /// Returns the frame of a page, or null if there is no room for it.
  link_frame_pointer FrameOf(const mirror_page& page, std::size_t copy_bytes);
  /// Returns the frame of an equal page that a link still holds, or null.
  link_frame_pointer FindFrame(const mirror_page& page);
  /// Returns whether there is room for a page of `bytes`. Where there is none,
  /// aborts the links that have not taken a page for long.
  bool MakeRoom(std::size_t bytes, std::size_t copy_bytes);
  /// Sends the frame unless the follower is behind or the frame is null.
  /// Returns whether it was sent.
  bool SendFrame(instance_links::id link, const link_frame_pointer& frame);
  /// Returns whether the follower does not take what it is sent.
  bool IsBehind(instance_links::id link) const;

  structured_log& log_;
  instance_links& links_;
  /// The followers, keyed by link.
  std::map<instance_links::id, follower> followers_;
  /// The pages that links hold.
  std::vector<encoded_page> pages_;
  unsent_frames unsent_pages_;
  std::uint64_t deferred_pages_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_MIRROR_FOLLOWERS_H_
