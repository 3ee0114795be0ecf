#ifndef PAPAYAGLADE_COORDINATION_CLASS_QUEUE_H_
#define PAPAYAGLADE_COORDINATION_CLASS_QUEUE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

#include "state/shard_messages.h"
#include "state/time.h"

namespace papayaglade {

/// Identifies one attempt among all processes of all entry instances.
struct attempt_key {
  std::uint64_t origin_incarnation = 0;
  std::uint64_t attempt_id = 0;
};

inline bool operator==(const attempt_key& a, const attempt_key& b) {
  return a.attempt_id == b.attempt_id &&
         a.origin_incarnation == b.origin_incarnation;
}

inline bool operator<(const attempt_key& a, const attempt_key& b) {
  return std::tie(a.origin_incarnation, a.attempt_id) <
         std::tie(b.origin_incarnation, b.attempt_id);
}

/// One attempt of a batch while the steward processes it.
struct queued_attempt {
  std::shared_ptr<const shard_batch> batch;
  std::size_t index = 0;
  monotonic_time deadline;
  monotonic_time arrival;
  std::uint64_t flow = 0;  ///< Identifies a caller at an entry instance.

  const shard_attempt& Attempt() const { return batch->attempts[index]; }
  attempt_key Key() const {
    return {batch->origin.incarnation, Attempt().attempt_id};
  }
};

/// Capacity and relative shares of the request classes.
struct class_queue_settings {
  std::size_t capacity = 512;  ///< Maximum number of attempts per class.
  /// Turns that a waiting class earns each time another class is served, by
  /// request_class.
  std::array<double, 3> credit_per_turn = {1.0, 0.2, 0.05};
  /// A class whose first attempt has waited this long earns four times as much.
  std::chrono::milliseconds ageing_threshold{500};
};

/// Queue of the attempts for one upstream. Counter lookups are preferred, but
/// no class and no caller starves.
class class_queue {
 public:
  explicit class_queue(const class_queue_settings& settings);

  /// Adds `attempt`. If the class is full, returns the attempt that has to be
  /// refused: `attempt` itself or the last one of the caller with the most
  /// attempts in the queue.
  std::optional<queued_attempt> Push(queued_attempt attempt);

  std::optional<queued_attempt> Pop(monotonic_time now);

  /// Removes and returns the attempts whose keys are in `keys`, which is
  /// sorted.
  std::vector<queued_attempt> Remove(const std::vector<attempt_key>& keys);

  /// Removes and returns the attempts whose deadline is `limit` or earlier.
  std::vector<queued_attempt> TakeExpired(monotonic_time limit);

  std::vector<queued_attempt> TakeAll();

  /// Returns how many attempts would be served before a new attempt of this
  /// class and flow.
  std::size_t CountAhead(request_class priority, std::uint64_t flow) const;

  bool Empty() const { return size_ == 0; }
  std::size_t Size() const { return size_; }
  std::size_t Size(request_class priority) const;

 private:
  struct flow_queue {
    std::uint64_t flow = 0;
    std::deque<queued_attempt> waiting;
  };
  struct class_state {
    std::deque<flow_queue> flows;  // The flows, served in turn from the front.
    std::size_t size = 0;
    double credit = 0;
  };

  flow_queue& FlowOf(class_state& state, std::uint64_t flow);
  static std::size_t SizeOfFlow(const class_state& state, std::uint64_t flow);
  std::optional<queued_attempt> DropFromLongest(class_state& state,
                                                std::uint64_t newcomer);
  std::size_t ChooseClass(monotonic_time now);
  queued_attempt TakeNext(class_state& state);
  bool HasAged(const class_state& state, monotonic_time now) const;
  std::vector<queued_attempt> TakeMatching(
      const std::function<bool(const queued_attempt&)>& wanted);

  class_queue_settings settings_;
  std::array<class_state, 3> classes_;  // Indexed by request_class.
  std::size_t size_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_CLASS_QUEUE_H_
