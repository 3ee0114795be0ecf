#ifndef PAPAYAGLADE_TESTS_UNIT_FANOUT_MODEL_H_
#define PAPAYAGLADE_TESTS_UNIT_FANOUT_MODEL_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace papayaglade {

/// Fan-out requests to one of many instances, with some upstreams that become
/// slow.
struct fanout_scenario {
  std::uint32_t seed = 1;
  /// Instances that share the repeat budget.
  std::size_t instances = 60;
  std::size_t shards = 90;
  /// Upstreams of each shard.
  std::size_t upstreams_per_shard = 3;
  std::size_t requests = 60;
  /// Interval between the requests of this instance.
  std::chrono::milliseconds request_interval{1500};
  /// Mean time an upstream takes for a request.
  std::chrono::milliseconds mean_service_time{20};
  std::chrono::milliseconds target{150};
  std::chrono::milliseconds deadline{800};
  double minimum_coverage = 0.95;
  /// Share of the upstreams that become slow after a third of the requests.
  double slow_share = 0.15;
  double slow_factor = 10;
  /// Requests that an upstream runs at the same time; the others wait in a
  /// queue. Zero means no limit.
  std::size_t slots = 0;
  /// Connections that an upstream accepts from each instance.
  std::size_t connections = 4;
  /// Each upstream stops for `pause` once in every `pause_interval`, at a time
  /// of its own.
  std::chrono::milliseconds pause{0};
  std::chrono::milliseconds pause_interval{6000};
};

/// Results of the requests.
struct fanout_outcome {
  /// Requests answered within the latency target.
  std::size_t in_time = 0;
  /// Mean coverage of the requests answered in time.
  double coverage = 0;
  /// Repeats per first attempt.
  double repeat_share = 0;
};

fanout_outcome SimulateFanouts(const fanout_scenario& scenario);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_FANOUT_MODEL_H_
