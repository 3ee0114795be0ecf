#include "upstream_log.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr std::size_t kMaxRecords = 20'000;

}  // namespace

std::int64_t ToMicroseconds(monotonic_time when) {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             when.time_since_epoch())
      .count();
}

void upstream_log::Record(const std::string& event, const std::string& detail) {
  Count(event);
  if (records_.size() >= kMaxRecords) return;
  records_.push_back({ToMicroseconds(monotonic_clock::now()), event, detail});
}

void upstream_log::RecordStart(const std::string& work, int in_flight,
                               bool cold) {
  Count("begun");
  if (!begun_.insert(work).second) Count("repeated");
  max_in_flight_ = std::max(max_in_flight_, in_flight);
  if (cold) max_cold_in_flight_ = std::max(max_cold_in_flight_, in_flight);
}

nlohmann::json upstream_log::Summary() const {
  return {{"counts", counts_},
          {"runs", runs_},
          {"last_arrival_us", ToMicroseconds(last_arrival_)},
          {"most_in_flight", max_in_flight_},
          {"most_cold_in_flight", max_cold_in_flight_}};
}

}  // namespace papayaglade
