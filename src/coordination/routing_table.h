#ifndef PAPAYAGLADE_COORDINATION_ROUTING_TABLE_H_
#define PAPAYAGLADE_COORDINATION_ROUTING_TABLE_H_

#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "coordination/name_index.h"
#include "state/cluster_view.h"

namespace papayaglade {

/// Steward number of an upstream that has no steward.
constexpr std::uint32_t kNoStewardNumber =
    std::numeric_limits<std::uint32_t>::max();

/// The destination of shard requests for one upstream.
struct upstream_route {
  bool known = false;  ///< The configuration in force defines the upstream.
  bool own_data_centre = false;
  bool out = false;  ///< An order takes its data centre out of service.
  std::uint32_t steward = kNoStewardNumber;
};

/// One shard of a pinned snapshot; replicas by upstream number.
struct shard_plan {
  std::string shard;
  std::vector<std::uint32_t> replicas;
};

/// The partition map of one snapshot in the form that planning reads.
struct snapshot_plan {
  std::uint64_t snapshot = 0;
  std::vector<shard_plan> shards;
};

/// The snapshots of one service, newest first.
struct service_plan {
  const service_definition* service = nullptr;
  std::vector<std::shared_ptr<const snapshot_plan>> snapshots;
};

/// A workload with the service that offers it.
struct workload_route {
  const service_plan* plan = nullptr;
  const workload* work = nullptr;
};

/// One cluster view in the form that planning reads; immutable once built.
class routing_table {
 public:
  routing_table(std::shared_ptr<const cluster_view> view,
                const std::string& own_data_centre, name_index& upstreams,
                name_index& stewards);

  /// Returns null members when no service offers `workload`.
  workload_route FindWorkload(const std::string& workload) const;
  const upstream_route& RouteOf(std::uint32_t upstream) const;

 private:
  void AddService(const service_definition& service,
                  const std::string& own_data_centre, name_index& upstreams);
  void AddSnapshots(service_plan& plan, name_index& upstreams) const;
  void AddStewards(name_index& upstreams, name_index& stewards);
  bool IsOrderedOut(const std::string& data_centre) const;
  upstream_route& FindOrAddRoute(std::uint32_t upstream);

  std::shared_ptr<const cluster_view> view_;
  std::vector<std::unique_ptr<service_plan>> services_;
  std::unordered_map<std::string, workload_route> workloads_;
  std::vector<upstream_route> routes_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ROUTING_TABLE_H_
