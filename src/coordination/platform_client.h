#ifndef PAPAYAGLADE_COORDINATION_PLATFORM_CLIENT_H_
#define PAPAYAGLADE_COORDINATION_PLATFORM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "coordination/backoff.h"
#include "coordination/metrics_sink.h"
#include "coordination/ports.h"
#include "coordination/token_bucket.h"
#include "state/platform_messages.h"
#include "state/time.h"

namespace papayaglade {

struct platform_client_settings {
  std::chrono::milliseconds timeout{1000};
  double calls_per_second = 5.0;
};

/// Calls the Object API within a rate budget, and determines the outcome of
/// conditional writes whose answer was lost. See
/// docs/design/platform-client.md.
class platform_client {
 public:
  using callback = std::function<void(const platform_reply&)>;

  platform_client(platform_port& port, metrics_sink& metrics,
                  platform_client_settings settings, std::uint64_t seed);

  /// Queues a call. `done` is called exactly once, from OnReply or OnTick. A
  /// put ends as kLost only if reading it back kept failing too.
  void Call(platform_operation operation, callback done, monotonic_time now);
  void OnReply(const platform_reply& reply, monotonic_time now);
  /// Expires calls without a reply, sends queued calls, and rejects calls that
  /// exceed the queue limit.
  void OnTick(monotonic_time now);

  /// Returns whether the last finished call got an answer, whatever its status.
  bool IsReachable() const { return reachable_; }
  /// Returns when IsReachable last changed; nothing before the first call has
  /// finished.
  std::optional<monotonic_time> ReachableSince() const {
    return reachable_since_;
  }
  /// Returns the number of calls sent so far.
  std::uint64_t CallCount() const { return call_count_; }

 private:
  struct pending_call {
    platform_operation operation;
    callback done;
    /// The write without an answer whose outcome `operation` determines by
    /// reading the object or repeating the write.
    std::optional<platform_put> lost_write;
    int settle_attempts = 0;
    backoff settle_backoff;
    /// The call is not sent before this time.
    monotonic_time due_at;
  };

  void SendQueued(monotonic_time now);
  void SendCall(pending_call call, monotonic_time now);
  void FinishCall(pending_call call, const platform_reply& reply,
                  monotonic_time now);
  void SettleWrite(pending_call call, const platform_reply& reply,
                   monotonic_time now);
  void ScheduleRepeat(pending_call call, platform_operation operation,
                      monotonic_time now);
  void CheckTimeouts(monotonic_time now);
  void RecordOutcome(platform_status status, monotonic_time now);

  struct sent_call {
    pending_call call;
    monotonic_time expires_at;
  };

  platform_port& port_;
  metrics_sink& metrics_;
  platform_client_settings settings_;
  std::mt19937_64 random_;
  token_bucket budget_;
  /// Reads and writes of single objects; sent before other calls.
  std::deque<pending_call> urgent_;
  std::deque<pending_call> regular_;
  std::map<std::uint64_t, sent_call> sent_calls_;
  std::uint64_t last_call_ = 0;
  std::uint64_t call_count_ = 0;
  bool reachable_ = false;
  std::optional<monotonic_time> reachable_since_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_PLATFORM_CLIENT_H_
