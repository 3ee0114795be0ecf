#ifndef PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_PROFILE_H_
#define PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_PROFILE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>

namespace papayaglade {

/// How one upstream stand-in behaves until a command changes it.
struct upstream_profile {
  std::string name;
  std::uint16_t port = 0;
  int slots = 3;
  int cold_slots = 1;
  std::size_t connections = 30;
  std::chrono::microseconds service_time{2000};
  std::chrono::microseconds jitter{500};
  int straggler_one_in = 0;  ///< 0: none.
  double straggler_times = 20;
  std::uint64_t seed = 1;
  std::uint64_t warm_after_served = 20;
  std::chrono::milliseconds warm_after_time{5000};
  double cold_times = 3;  ///< A cold index serves this much slower.
  bool starts_cold = false;
  bool health_lies = false;  ///< /health always says warm and idle.
  std::chrono::milliseconds health_lag{0};
  bool other_snapshot = false;  ///< Answers from its newest snapshot only.
  std::set<std::uint64_t> snapshots;  ///< Held; empty: any.
  bool logs = true;                   ///< Keeps records of each request.

  /// Changes the members that `changes` names.
  void Apply(const nlohmann::json& changes);
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_PROFILE_H_
