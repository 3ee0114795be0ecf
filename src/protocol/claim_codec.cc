#include "protocol/claim_codec.h"

#include <nlohmann/json.hpp>

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr claim_phase kPhases[] = {claim_phase::kClaimed, claim_phase::kSent,
                                   claim_phase::kDone, claim_phase::kReleased};

std::optional<claim_phase> ParsePhase(const std::string& name) {
  for (const claim_phase each : kPhases) {
    if (name == ClaimPhaseName(each)) return each;
  }
  return std::nullopt;
}

}  // namespace

std::string FormatClaim(const claim& value) {
  json hits = json::array();
  for (const hit& each : value.hits) {
    hits.push_back(json::array({each.key, each.score, each.text}));
  }
  const json out = {
      {"phase", ClaimPhaseName(value.phase)},     {"attempt", value.attempt},
      {"fingerprint", value.fingerprint},         {"upstream", value.upstream},
      {"allowed_ms", value.time_allowed.count()}, {"hits", std::move(hits)}};
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<claim> ParseClaim(const std::string& text) {
  try {
    const json in = json::parse(text);
    const auto phase = ParsePhase(in.at("phase").get<std::string>());
    if (!phase.has_value()) return std::nullopt;
    claim value;
    value.phase = *phase;
    in.at("attempt").get_to(value.attempt);
    in.at("fingerprint").get_to(value.fingerprint);
    in.at("upstream").get_to(value.upstream);
    value.time_allowed =
        std::chrono::milliseconds(in.at("allowed_ms").get<std::int64_t>());
    for (const json& each : in.at("hits")) {
      value.hits.push_back({each.at(0).get<std::string>(),
                            each.at(1).get<double>(),
                            each.at(2).get<std::string>()});
    }
    return value;
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace papayaglade
