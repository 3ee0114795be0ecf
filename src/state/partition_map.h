#ifndef PAPAYAGLADE_STATE_PARTITION_MAP_H_
#define PAPAYAGLADE_STATE_PARTITION_MAP_H_

#include <cstdint>
#include <string>
#include <vector>

namespace papayaglade {

/// The replicas of one shard, as upstream names.
struct shard_placement {
  std::string shard;
  std::vector<std::string> replicas;
};

/// The shards that make up one index snapshot of one service.
struct partition_map {
  std::uint64_t snapshot = 0;
  std::vector<shard_placement> shards;
};

/// The snapshots of one service, newest first.
struct service_snapshots {
  std::string service;
  std::vector<partition_map> snapshots;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_PARTITION_MAP_H_
