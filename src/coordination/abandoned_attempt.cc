#include "coordination/abandoned_attempt.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Time in which an attempt that is not late may complete, so that its
// connection can be reused and its answer updates the health of the upstream.
constexpr milliseconds kCompletionTimeout{300};
// An attempt that is pending for longer than this multiple of the usual latency
// probably waits in the queue of an overloaded upstream. Upstreams drop
// requests whose connection closes, so the requests behind it start sooner.
constexpr double kQueuedLatencyFactor = 1.5;

}  // namespace

milliseconds AbandonedAttemptTimeout(std::chrono::microseconds age,
                                     std::chrono::microseconds usual_latency) {
  const std::chrono::duration<double, std::micro> queued_after =
      kQueuedLatencyFactor * usual_latency;
  return age > queued_after ? milliseconds(0) : kCompletionTimeout;
}

}  // namespace papayaglade
