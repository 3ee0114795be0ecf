#ifndef PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_PROFILE_H_
#define PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_PROFILE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace papayaglade {

/// Behaviour of an upstream stand-in. Commands can change it.
struct upstream_profile {
  std::string name;
  std::uint16_t port = 0;
  int slots = 3;                 ///< Maximum requests in flight.
  int cold_slots = 1;            ///< Maximum requests in flight while cold.
  std::size_t connections = 30;  ///< Maximum open connections.
  std::chrono::microseconds service_time{2000};
  std::chrono::microseconds jitter{500};
  /// One request in this many is a straggler; zero means none.
  int straggler_one_in = 0;
  double straggler_times = 20;  ///< Factor on the service time of a straggler.
  std::uint64_t seed = 1;
  std::uint64_t warm_after_served = 20;
  std::chrono::milliseconds warm_after_time{5000};
  double cold_times = 3;  ///< Factor on the service time while cold.
  bool starts_cold = false;
  bool health_lies = false;  ///< /health always reports warm and idle.
  std::chrono::milliseconds health_lag{0};  ///< Age of what /health reports.
  bool other_snapshot = false;  ///< Always answers from its newest snapshot.
  std::set<std::uint64_t> snapshots;  ///< Available snapshots; empty means all.
  bool logs = true;                   ///< Records the start of each request.

  /// Sets the members that `changes` contains and keeps the others.
  void Apply(const nlohmann::json& changes);
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_PROFILE_H_
