#include "protocol/upstream_state_codec.h"

#include <array>
#include <cstdint>
#include <nlohmann/json.hpp>

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr std::size_t kMaxInFlight = 4096;
constexpr std::array kPhases = {steward_phase::kUnknown, steward_phase::kCold,
                                steward_phase::kWarming, steward_phase::kWarm,
                                steward_phase::kLeaving, steward_phase::kSilent,
                                steward_phase::kLost};

std::optional<steward_phase> ParsePhase(const std::string& name) {
  for (const steward_phase phase : kPhases) {
    if (name == StewardPhaseName(phase)) return phase;
  }
  return std::nullopt;
}

}  // namespace

std::string FormatUpstreamState(const upstream_state& state) {
  json in_flight = json::array();
  for (const std::chrono::microseconds left : state.in_flight) {
    in_flight.push_back(left.count());
  }
  const json document = {{"phase", StewardPhaseName(state.phase)},
                         {"limit", state.limit},
                         {"incarnation", state.incarnation},
                         {"typical_us", state.typical_time.count()},
                         {"in_flight_us", in_flight}};
  return document.dump();
}

std::optional<upstream_state> ParseUpstreamState(const std::string& text) {
  try {
    const json document = json::parse(text);
    const auto phase = ParsePhase(document.at("phase").get<std::string>());
    if (!phase.has_value()) return std::nullopt;
    upstream_state state;
    state.phase = *phase;
    document.at("limit").get_to(state.limit);
    document.at("incarnation").get_to(state.incarnation);
    state.typical_time = std::chrono::microseconds(
        document.at("typical_us").get<std::int64_t>());
    const json& in_flight = document.at("in_flight_us");
    if (in_flight.size() > kMaxInFlight) return std::nullopt;
    for (const json& left : in_flight) {
      state.in_flight.emplace_back(left.get<std::int64_t>());
    }
    return state;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace papayaglade
