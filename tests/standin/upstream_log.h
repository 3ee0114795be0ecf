#ifndef PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_LOG_H_
#define PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_LOG_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_set>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// Counts the events of one upstream and records the first of them.
class upstream_log {
 public:
  /// Increments the counter named `event`.
  void Count(const std::string& event) { ++counts_[event]; }
  /// Counts `event` and records it with its time and `detail`.
  void Record(const std::string& event, const std::string& detail);
  /// Records the arrival of a search or run, whether admitted or not.
  void RecordArrival(monotonic_time now) { last_arrival_ = now; }
  /// Records the start of an admitted request. `work` identifies its request
  /// and shard. `in_flight` is the number of requests in flight, including this
  /// one.
  void RecordStart(const std::string& work, int in_flight, bool cold);
  /// Counts the start of a run, whatever its result.
  void RecordRun(const std::string& query) { ++runs_[query]; }

  nlohmann::json Summary() const;
  nlohmann::json Records() const { return records_; }
  /// Returns all `work` names passed to RecordStart, without duplicates.
  nlohmann::json Begun() const { return begun_; }

 private:
  std::map<std::string, std::uint64_t> counts_;
  std::map<std::string, std::uint64_t> runs_;
  std::unordered_set<std::string> begun_;
  monotonic_time last_arrival_;
  int max_in_flight_ = 0;
  int max_cold_in_flight_ = 0;
  nlohmann::json records_ = nlohmann::json::array();
};

/// Converts `when` to microseconds on the machine's monotonic clock.
std::int64_t ToMicroseconds(monotonic_time when);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_LOG_H_
