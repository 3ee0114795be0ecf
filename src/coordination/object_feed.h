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

/// Reads the objects of one kind from the platform: a watcher by long polls
/// that resume from a revision, any other instance by a slow list.
class object_feed {
 public:
  object_feed(std::string kind, std::uint64_t seed);

  void SetWatching(bool watching);

  /// The call to make now, if any; nothing more is due until OnReply.
  std::optional<platform_operation> Next(monotonic_time now);
  void OnReply(const platform_reply& reply, monotonic_time now);

 private:
  void OnObjects(const platform_reply& reply, monotonic_time now);
  void OnFailure(monotonic_time now);

  std::string kind_;
  std::mt19937_64 random_;
  backoff backoff_;
  bool watching_ = false;
  bool call_pending_ = false;         // For the reply to a call.
  bool last_call_was_watch_ = false;  // What that call was.
  std::optional<std::uint64_t> revision_;
  monotonic_time called_at_;
  monotonic_time next_call_at_;  // The next call is not made before this.
  monotonic_time next_list_at_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBJECT_FEED_H_
