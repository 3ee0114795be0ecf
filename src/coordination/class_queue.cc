#include "coordination/class_queue.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

constexpr double kAgedCreditFactor = 4.0;
constexpr double kTurnCost = 1.0;

std::size_t IndexOf(request_class priority) {
  return static_cast<std::size_t>(priority);
}

}  // namespace

class_queue::class_queue(const class_queue_settings& settings)
    : settings_(settings) {}

std::optional<queued_attempt> class_queue::Push(queued_attempt attempt) {
  class_state& state = classes_[IndexOf(attempt.batch->priority)];
  std::optional<queued_attempt> dropped;
  if (state.size >= settings_.capacity) {
    dropped = DropFromLongest(state, attempt.flow);
    if (!dropped.has_value()) return attempt;
  }
  FlowOf(state, attempt.flow).waiting.push_back(std::move(attempt));
  ++state.size;
  ++size_;
  return dropped;
}

std::optional<queued_attempt> class_queue::Pop(monotonic_time now) {
  if (size_ == 0) return std::nullopt;
  return TakeNext(classes_[ChooseClass(now)]);
}

std::vector<queued_attempt> class_queue::Remove(
    const std::vector<attempt_key>& keys) {
  if (size_ == 0) return {};
  return TakeMatching([&](const queued_attempt& each) {
    return std::binary_search(keys.begin(), keys.end(), each.Key());
  });
}

std::vector<queued_attempt> class_queue::TakeExpired(monotonic_time limit) {
  return TakeMatching(
      [limit](const queued_attempt& each) { return each.deadline <= limit; });
}

std::vector<queued_attempt> class_queue::TakeAll() {
  return TakeMatching([](const queued_attempt& /*each*/) { return true; });
}

std::size_t class_queue::CountAhead(request_class priority,
                                    std::uint64_t flow) const {
  std::size_t ahead = 0;
  for (std::size_t i = 0; i < IndexOf(priority); ++i) ahead += classes_[i].size;
  const class_state& state = classes_[IndexOf(priority)];
  const std::size_t of_flow = SizeOfFlow(state, flow);
  // Flows take turns, so before a new attempt of this flow every other flow is
  // served at most once more than the attempts that this flow has.
  for (const flow_queue& each : state.flows) {
    ahead += each.flow == flow ? of_flow
                               : std::min(each.waiting.size(), of_flow + 1);
  }
  return ahead;
}

std::size_t class_queue::Size(request_class priority) const {
  return classes_[IndexOf(priority)].size;
}

class_queue::flow_queue& class_queue::FlowOf(class_state& state,
                                             std::uint64_t flow) {
  const auto found = std::find_if(
      state.flows.begin(), state.flows.end(),
      [flow](const flow_queue& each) { return each.flow == flow; });
  if (found != state.flows.end()) return *found;
  state.flows.push_back({flow, {}});
  return state.flows.back();
}

std::size_t class_queue::SizeOfFlow(const class_state& state,
                                    std::uint64_t flow) {
  for (const flow_queue& each : state.flows) {
    if (each.flow == flow) return each.waiting.size();
  }
  return 0;
}

std::optional<queued_attempt> class_queue::DropFromLongest(
    class_state& state, std::uint64_t newcomer) {
  const auto longest =
      std::max_element(state.flows.begin(), state.flows.end(),
                       [](const flow_queue& a, const flow_queue& b) {
                         return a.waiting.size() < b.waiting.size();
                       });
  const bool newcomer_has_most =
      longest->waiting.size() <= SizeOfFlow(state, newcomer);
  if (newcomer_has_most) return std::nullopt;
  queued_attempt dropped = std::move(longest->waiting.back());
  longest->waiting.pop_back();
  if (longest->waiting.empty()) state.flows.erase(longest);
  --state.size;
  --size_;
  return dropped;
}

std::size_t class_queue::ChooseClass(monotonic_time now) {
  std::size_t first = 0;
  while (classes_[first].size == 0) ++first;
  std::size_t chosen = first;
  // A waiting class that is not served earns credit. A class with credit for a
  // full turn is served next.
  for (std::size_t i = classes_.size(); i-- > first + 1;) {
    class_state& passed = classes_[i];
    if (passed.size == 0) continue;
    const double aged = HasAged(passed, now) ? kAgedCreditFactor : 1.0;
    passed.credit = std::min(
        passed.credit + settings_.credit_per_turn[i] * aged, 2 * kTurnCost);
    if (passed.credit >= kTurnCost) chosen = i;
  }
  if (chosen != first) classes_[chosen].credit -= kTurnCost;
  return chosen;
}

queued_attempt class_queue::TakeNext(class_state& state) {
  flow_queue turn = std::move(state.flows.front());
  state.flows.pop_front();
  queued_attempt next = std::move(turn.waiting.front());
  turn.waiting.pop_front();
  if (!turn.waiting.empty()) state.flows.push_back(std::move(turn));
  --state.size;
  --size_;
  return next;
}

bool class_queue::HasAged(const class_state& state, monotonic_time now) const {
  const queued_attempt& first = state.flows.front().waiting.front();
  return now - first.arrival >= settings_.ageing_threshold;
}

std::vector<queued_attempt> class_queue::TakeMatching(
    const std::function<bool(const queued_attempt&)>& wanted) {
  std::vector<queued_attempt> taken;
  for (class_state& state : classes_) {
    if (state.size == 0) continue;
    for (flow_queue& flow : state.flows) {
      auto& waiting = flow.waiting;
      const auto end = std::stable_partition(
          waiting.begin(), waiting.end(),
          [&](const queued_attempt& each) { return !wanted(each); });
      const auto count = static_cast<std::size_t>(waiting.end() - end);
      std::move(end, waiting.end(), std::back_inserter(taken));
      waiting.erase(end, waiting.end());
      state.size -= count;
      size_ -= count;
    }
    state.flows.erase(std::remove_if(state.flows.begin(), state.flows.end(),
                                     [](const flow_queue& each) {
                                       return each.waiting.empty();
                                     }),
                      state.flows.end());
  }
  return taken;
}

}  // namespace papayaglade
