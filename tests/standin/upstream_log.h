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

/// What one upstream saw: counts for ever, and the last records.
class upstream_log {
 public:
  /// Adds one to the count named `event`.
  void Count(const std::string& event) { ++counts_[event]; }
  /// Counts `event` and keeps a record of it.
  void Record(const std::string& event, const std::string& detail);
  /// A search or run has arrived, whatever becomes of it.
  void RecordArrival(monotonic_time now) { last_arrival_ = now; }
  /// Work has begun; `work` names the shard and request it is done for.
  void RecordStart(const std::string& work, int in_flight, bool cold);
  /// A run has begun; it counts however it ends.
  void RecordRun(const std::string& query) { ++runs_[query]; }

  nlohmann::json Summary() const;
  nlohmann::json Records() const { return records_; }
  /// All work ever begun, each named once.
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

/// Microseconds on the machine's monotonic clock.
std::int64_t ToMicroseconds(monotonic_time when);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_LOG_H_
