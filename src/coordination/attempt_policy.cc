#include "coordination/attempt_policy.h"

#include <algorithm>

namespace papayaglade {

namespace {

constexpr double kHedgeQuantile = 0.9;
// Initial estimates, as fractions of the latency target.
constexpr int kInitialMedianDivisor = 8;
constexpr int kInitialHedgeDivisor = 4;
constexpr std::chrono::milliseconds kDefaultLatencyTarget{400};
constexpr std::chrono::milliseconds kMinHedgeDelay{8};
// After this share of the latency target a hedge rarely helps.
constexpr double kMaxHedgeDelayShare = 0.45;

std::chrono::microseconds LatencyTargetOf(const route& route) {
  if (route.latency_target.count() > 0) return route.latency_target;
  return kDefaultLatencyTarget;
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

bool attempt_policy::HasAmpleRepeats(const std::string& service,
                                     monotonic_time now) {
  return budgets_[service].IsAmple(limits_, instances_, now);
}

void attempt_policy::RecordLatency(const route& route,
                                   std::chrono::microseconds latency) {
  route_latencies& observed = LatenciesOf(route);
  observed.median.Add(latency);
  observed.hedge_threshold.Add(latency);
}

std::chrono::microseconds attempt_policy::MedianLatency(const route& route) {
  return LatenciesOf(route).median.Estimate();
}

std::chrono::microseconds attempt_policy::HedgeDelay(const route& route) {
  const std::chrono::microseconds maximum = MaxHedgeDelay(route);
  const std::chrono::microseconds estimated =
      LatenciesOf(route).hedge_threshold.Estimate();
  return std::max<std::chrono::microseconds>(kMinHedgeDelay,
                                             std::min(estimated, maximum));
}

std::chrono::microseconds attempt_policy::MaxHedgeDelay(const route& route) {
  return std::chrono::microseconds(static_cast<std::int64_t>(
      kMaxHedgeDelayShare *
      static_cast<double>(LatencyTargetOf(route).count())));
}

const std::string& attempt_policy::NextService(const route& route,
                                               const weighted_target& target) {
  std::vector<service_credit>& credits = credits_[route.name];
  std::vector<service_credit> kept;
  double total = 0;
  for (const weighted_service& each : target.services) {
    const auto known = std::find_if(
        credits.begin(), credits.end(),
        [&](const service_credit& t) { return t.service == each.service; });
    const double credit = known == credits.end() ? 0 : known->credit;
    kept.push_back({each.service, credit + each.weight});
    total += each.weight;
  }
  credits = std::move(kept);
  const auto chosen =
      std::max_element(credits.begin(), credits.end(),
                       [](const service_credit& a, const service_credit& b) {
                         return a.credit < b.credit;
                       });
  chosen->credit -= total;
  return chosen->service;
}

attempt_policy::route_latencies& attempt_policy::LatenciesOf(
    const route& route) {
  const auto found = latencies_.find(route.name);
  if (found != latencies_.end()) return found->second;
  const std::chrono::microseconds target = LatencyTargetOf(route);
  const route_latencies initial{
      {0.5, target / kInitialMedianDivisor},
      {kHedgeQuantile, target / kInitialHedgeDivisor}};
  return latencies_.emplace(route.name, initial).first->second;
}

}  // namespace papayaglade
