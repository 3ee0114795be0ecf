#ifndef PAPAYAGLADE_TESTS_UNIT_FANOUT_MODEL_H_
#define PAPAYAGLADE_TESTS_UNIT_FANOUT_MODEL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace papayaglade {

/// A load of fan-outs on one instance of many, over upstreams of which some
/// are slow for a while.
struct fanout_scenario {
  std::uint32_t seed = 1;
  std::size_t instances = 60;  ///< They share the repeat budget.
  std::size_t shards = 90;
  std::size_t upstreams_per_shard = 3;  ///< Of each shard.
  std::size_t requests = 60;
  std::chrono::milliseconds request_interval{
      1500};  ///< Requests of this instance.
  std::chrono::milliseconds mean_service_time{
      20};  ///< Of an upstream, in the mean.
  std::chrono::milliseconds target{150};
  std::chrono::milliseconds deadline{800};
  double minimum_coverage = 0.95;
  double slow_share =
      0.15;  ///< Of the upstreams, from a third of the requests on.
  double slow_factor = 10;
};

/// How the requests fared.
struct fanout_outcome {
  std::size_t in_time = 0;  ///< Answered within the target.
  double coverage = 0;      ///< Mean share of shards in those.
  double repeat_share = 0;  ///< Repeats for each first attempt.
};

fanout_outcome SimulateFanouts(const fanout_scenario& scenario);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_FANOUT_MODEL_H_
