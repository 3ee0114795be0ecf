#include "upstream_log.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr std::size_t kMostRecords = 20'000;

}  // namespace

std::int64_t MicrosecondsOf(monotonic_time when) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             when.time_since_epoch())
      .count();
}

void upstream_log::Record(const std::string& event, const std::string& detail) {
  Count(event);
  if (records_.size() >= kMostRecords) return;
  records_.push_back({MicrosecondsOf(monotonic_clock::now()), event, detail});
}

void upstream_log::Begin(const std::string& work, int in_flight, bool cold) {
  Count("begun");
  if (!begun_.insert(work).second) Count("repeated");
  most_in_flight_ = std::max(most_in_flight_, in_flight);
  if (cold) most_cold_in_flight_ = std::max(most_cold_in_flight_, in_flight);
}

nlohmann::json upstream_log::Summary() const {
  return {{"counts", counts_},
          {"runs", runs_},
          {"last_arrival_us", MicrosecondsOf(last_arrival_)},
          {"most_in_flight", most_in_flight_},
          {"most_cold_in_flight", most_cold_in_flight_}};
}

}  // namespace papayaglade
