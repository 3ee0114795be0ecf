#include "coordination/reachability_monitor.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace papayaglade {

namespace {

// If no upstream answers for this long, overdue attempts are attributed to the
// network path.
constexpr std::chrono::milliseconds kMaxSilence{150};
// This many upstreams do not fail at the same time independently.
constexpr std::size_t kMinFailingUpstreams = 4;

}  // namespace

void reachability_monitor::OnContact(const std::string& data_centre,
                                     monotonic_time now) {
  data_centre_state& state = states_[data_centre];
  state.last_contact_at = now;
  state.failed_upstreams.clear();
}

void reachability_monitor::OnFailure(const std::string& data_centre,
                                     const std::string& upstream) {
  states_[data_centre].failed_upstreams.insert(upstream);
}

bool reachability_monitor::Evaluate(const std::vector<sample>& samples,
                                    monotonic_time now) {
  std::set<std::string> unreachable;
  for (const sample& each : samples) {
    const data_centre_state& state = states_[each.data_centre];
    const bool silent = now - state.last_contact_at > kMaxSilence;
    const std::size_t required = std::min(
        kMinFailingUpstreams, std::max<std::size_t>(2, each.upstreams));
    const std::size_t failing =
        std::max(each.overdue, state.failed_upstreams.size());
    const bool was_unreachable = unreachable_.count(each.data_centre) != 0;
    if (silent && (was_unreachable || failing >= required)) {
      unreachable.insert(each.data_centre);
    }
  }
  const bool changed = unreachable != unreachable_;
  unreachable_ = std::move(unreachable);
  return changed;
}

}  // namespace papayaglade
