#ifndef PAPAYAGLADE_COORDINATION_OBJECT_FEED_H_
#define PAPAYAGLADE_COORDINATION_OBJECT_FEED_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>

#include "coordination/backoff.h"
#include "state/platform_messages.h"
#include "state/time.h"

namespace papayaglade {

/// Schedules the calls that read the objects of one kind from the platform. A
/// watching instance uses long polls that resume from a revision; any other one
/// fetches the whole list at long intervals.
class object_feed {
 public:
  object_feed(std::string kind, std::uint64_t seed);

  /// Sets whether this instance watches; a new watcher calls at once.
  void SetWatching(bool watching);

  /// Returns the call to make now, if any. No further call is due until
  /// OnReply.
  std::optional<platform_operation> Next(monotonic_time now);
  /// Handles the reply to the call and schedules the next one.
  void OnReply(const platform_reply& reply, monotonic_time now);

 private:
  void OnObjects(const platform_reply& reply, monotonic_time now);
  void OnFailure(monotonic_time now);

  std::string kind_;
  std::mt19937_64 random_;
  backoff backoff_;
  bool watching_ = false;
  bool call_pending_ = false;         // True from Next until OnReply.
  bool last_call_was_watch_ = false;  // Whether the latest call is a watch.
  std::optional<std::uint64_t> revision_;
  monotonic_time called_at_;
  monotonic_time next_call_at_;  // Time of the next call.
  monotonic_time next_list_at_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBJECT_FEED_H_
