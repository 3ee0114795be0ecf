#ifndef PAPAYAGLADE_TESTS_STANDIN_CALL_COUNTER_H_
#define PAPAYAGLADE_TESTS_STANDIN_CALL_COUNTER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>

#include "state/time.h"

namespace papayaglade {

/// Counts calls by caller and operation, and records the highest number of
/// calls in any second.
class call_counter {
 public:
  void Count(const std::string& caller, const std::string& operation,
             monotonic_time now) {
    ++calls_[caller][operation];
    const auto second =
        std::chrono::floor<std::chrono::seconds>(now.time_since_epoch());
    if (second != second_) {
      second_ = second;
      in_second_ = 0;
    }
    max_in_second_ = std::max(max_in_second_, ++in_second_);
  }

  nlohmann::json Summary() const {
    return {{"calls", calls_}, {"most_in_a_second", max_in_second_}};
  }

 private:
  /// Number of calls by caller, then by operation.
  std::map<std::string, std::map<std::string, std::uint64_t>> calls_;
  std::chrono::seconds second_{0};  ///< The second of the last call.
  std::uint64_t in_second_ = 0;     ///< Calls within `second_`.
  std::uint64_t max_in_second_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_CALL_COUNTER_H_
