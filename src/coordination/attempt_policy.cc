#include "coordination/attempt_policy.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr double kHedgeQuantile = 0.9;
// Before anything is known, as shares of the latency target.
constexpr int kFirstUsualShare = 8;
constexpr int kFirstHedgeShare = 4;
constexpr std::chrono::milliseconds kTargetWithoutOne{400};
constexpr std::chrono::milliseconds kLeastHedgeDelay{8};
// Later than this share of the target a hedge rarely helps.
constexpr double kLatestHedgeShare = 0.45;

std::chrono::microseconds TargetOf(const route& route) {
  if (route.latency_target.count() > 0) return route.latency_target;
  return kTargetWithoutOne;
}

}  // namespace

attempt_policy::attempt_policy(const repeat_limits& limits) : limits_(limits) {}

void attempt_policy::CountRequest(const std::string& service,
                                  monotonic_time now) {
  budgets_[service].CountRequest(now);
}

bool attempt_policy::TryRepeat(const std::string& service, monotonic_time now) {
  return budgets_[service].TrySpend(limits_, instances_, now);
}

bool attempt_policy::HasPlentyRepeats(const std::string& service,
                                      monotonic_time now) {
  return budgets_[service].HasPlenty(limits_, instances_, now);
}

void attempt_policy::Observe(const route& route,
                             std::chrono::microseconds latency) {
  latencies& own = Of(route);
  own.median.Add(latency);
  own.late.Add(latency);
}

std::chrono::microseconds attempt_policy::Usual(const route& route) {
  return Of(route).median.Estimate();
}

std::chrono::microseconds attempt_policy::HedgeDelay(const route& route) {
  const std::chrono::microseconds latest = LatestHedgeDelay(route);
  const std::chrono::microseconds learnt = Of(route).late.Estimate();
  return std::max<std::chrono::microseconds>(kLeastHedgeDelay,
                                             std::min(learnt, latest));
}

std::chrono::microseconds attempt_policy::LatestHedgeDelay(const route& route) {
  return std::chrono::microseconds(static_cast<std::int64_t>(
      kLatestHedgeShare * static_cast<double>(TargetOf(route).count())));
}

const std::string& attempt_policy::NextService(const route& route,
                                               const weighted_target& target) {
  std::vector<weighted_turn>& turns = turns_[route.name];
  std::vector<weighted_turn> kept;
  double total = 0;
  for (const weighted_service& each : target.services) {
    const auto known = std::find_if(
        turns.begin(), turns.end(),
        [&](const weighted_turn& t) { return t.service == each.service; });
    const double credit = known == turns.end() ? 0 : known->credit;
    kept.push_back({each.service, credit + each.weight});
    total += each.weight;
  }
  turns = std::move(kept);
  const auto most =
      std::max_element(turns.begin(), turns.end(),
                       [](const weighted_turn& a, const weighted_turn& b) {
                         return a.credit < b.credit;
                       });
  most->credit -= total;
  return most->service;
}

attempt_policy::latencies& attempt_policy::Of(const route& route) {
  const auto found = latencies_.find(route.name);
  if (found != latencies_.end()) return found->second;
  const std::chrono::microseconds target = TargetOf(route);
  const latencies first{{0.5, target / kFirstUsualShare},
                        {kHedgeQuantile, target / kFirstHedgeShare}};
  return latencies_.emplace(route.name, first).first->second;
}

}  // namespace papayaglade
