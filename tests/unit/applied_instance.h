#ifndef PAPAYAGLADE_TESTS_UNIT_APPLIED_INSTANCE_H_
#define PAPAYAGLADE_TESTS_UNIT_APPLIED_INSTANCE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "app/store_object_applier.h"
#include "platform/platform_store_format.h"
#include "platform/platform_wire_format.h"

namespace papayaglade {

/// Returns what the upstream "i-1" of the service "desk" reports to the store.
stored_object UpstreamReport(const std::string& state, std::int64_t sequence,
                             std::int64_t start_time_ms = 1700000000000);

/// The applier of one instance, with what it is applied to.
class applied_instance {
 public:
  /// Applies `objects` and returns the log lines of that.
  std::vector<std::string> Apply(stored_kind kind,
                                 const std::vector<stored_object>& objects);

  loop_context loop;
  structured_log log{loop};
  platform::platform_store_format store;
  platform::platform_wire_format wire;
  metrics_registry metrics;
  upstream_directory directory{"kigali", {}, {}};
  attempt_policy policy{repeat_limits()};
  reachability_monitor reachability;
  upstream_client client{loop, wire, directory, policy, reachability};
  entry_service service{loop, wire, directory, policy, client, log, metrics};
  store_object_applier applier{store, log, directory, service};

 private:
  /// Flushes the log into a file in place of standard output.
  std::vector<std::string> FlushLog();
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_APPLIED_INSTANCE_H_
