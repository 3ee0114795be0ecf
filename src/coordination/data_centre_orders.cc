#include "coordination/data_centre_orders.h"

#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// An order is in force within seconds, so a slow platform is not waited for.
constexpr milliseconds kPlatformPatience{700};
constexpr milliseconds kShortestStoreWait{2000};
constexpr milliseconds kLongestStoreWait{6000};
constexpr std::size_t kMostOverruled = 16;

bool IsAnswer(platform_status status) {
  return status == platform_status::kOk ||
         status == platform_status::kNotFound ||
         status == platform_status::kConflict;
}

}  // namespace

std::uint64_t NextOrderGeneration(std::uint64_t newest, bool out) {
  const std::uint64_t round = newest / 2 + 1;
  return 2 * round + (out ? 1 : 0);
}

void data_centre_orders::Give(std::uint64_t ticket,
                              const std::string& data_centre, bool out,
                              monotonic_time now) {
  known_order& known = Of(data_centre);
  if (known.open) {
    // The earlier of two orders through one instance decides.
    actions_.emplace_back(
        order_result{ticket, order_result::verdict::kSuperseded, known.newest});
    return;
  }
  known.open = open_order{ticket, out, now + kPlatformPatience};
  Read(known);
}

void data_centre_orders::OnOrder(const data_centre_order& order,
                                 monotonic_time now) {
  known_order& known = Of(order.data_centre);
  Learn(known, order);
  if (keeper_) StoreLater(known, now);
}

void data_centre_orders::OnRead(const std::string& data_centre,
                                const order_answer& answer,
                                monotonic_time now) {
  known_order& known = Of(data_centre);
  known.calling = false;
  if (!IsAnswer(answer.status)) {
    if (known.open) DecideAlone(known, now);
    if (known.store_at) StoreLater(known, now);
    return;
  }
  if (answer.stored) Learn(known, *answer.stored);
  const std::uint64_t stored = answer.stored ? answer.stored->generation : 0;
  const data_centre_order& newest = known.newest;
  data_centre_order wanted = newest;
  if (known.open && (newest.out != known.open->out || newest.generation == 0)) {
    wanted.generation = NextOrderGeneration(newest.generation, known.open->out);
    wanted.out = known.open->out;
  }
  if (wanted.generation <= stored) {
    known.store_at.reset();
    if (known.open) Finish(known, order_result::verdict::kInForce);
    return;
  }
  known.calling = true;
  actions_.emplace_back(write_order{wanted, answer.version});
}

void data_centre_orders::OnWritten(const std::string& data_centre,
                                   const order_answer& answer,
                                   monotonic_time now) {
  known_order& known = Of(data_centre);
  known.calling = false;
  if (!IsAnswer(answer.status)) {
    if (known.open) DecideAlone(known, now);
    StoreLater(known, now);
    return;
  }
  if (answer.stored) Learn(known, *answer.stored);
  if (answer.status == platform_status::kConflict) {
    if (known.open) Finish(known, order_result::verdict::kSuperseded);
    StoreLater(known, now);
    return;
  }
  known.store_at.reset();
  if (!known.open) return;
  Accept(known, order_result::verdict::kStored);
}

void data_centre_orders::OnTick(monotonic_time now) {
  for (auto& [data_centre, known] : orders_) {
    if (known.open && known.open->decide_by <= now) DecideAlone(known, now);
    if (known.calling || !known.store_at || *known.store_at > now) continue;
    Read(known);
  }
}

data_centre_orders::known_order& data_centre_orders::Of(
    const std::string& data_centre) {
  known_order& known = orders_[data_centre];
  known.newest.data_centre = data_centre;
  return known;
}

void data_centre_orders::Read(known_order& known) {
  if (known.calling) return;
  known.calling = true;
  actions_.emplace_back(read_order{known.newest.data_centre});
}

void data_centre_orders::DecideAlone(known_order& known, monotonic_time now) {
  const bool in_force =
      known.newest.generation > 0 && known.newest.out == known.open->out;
  if (in_force) return Finish(known, order_result::verdict::kInForce);
  Learn(known, {known.newest.data_centre,
                NextOrderGeneration(known.newest.generation, known.open->out),
                known.open->out});
  StoreLater(known, now);
  Accept(known, order_result::verdict::kSpread);
}

void data_centre_orders::Accept(known_order& known, order_result::verdict how) {
  known.accepted = known.newest;
  Finish(known, how);
}

void data_centre_orders::Finish(known_order& known, order_result::verdict how) {
  actions_.emplace_back(order_result{known.open->ticket, how, known.newest});
  known.open.reset();
}

void data_centre_orders::Learn(known_order& known,
                               const data_centre_order& order) {
  if (order.generation <= known.newest.generation) return;
  known.newest = order;
  const bool overruled = known.accepted && known.accepted->out != order.out &&
                         known.accepted->generation / 2 == order.generation / 2;
  if (overruled) {
    if (overruled_.size() >= kMostOverruled) {
      overruled_.erase(overruled_.begin());
    }
    overruled_.push_back(*known.accepted);
    known.accepted.reset();
  }
  actions_.emplace_back(spread_order{order});
}

// Jitter keeps the keepers of a fleet from writing the same at once.
void data_centre_orders::StoreLater(known_order& known, monotonic_time now) {
  std::uniform_int_distribution<milliseconds::rep> wait(
      kShortestStoreWait.count(), kLongestStoreWait.count());
  known.store_at = now + milliseconds(wait(random_));
}

std::vector<order_action> data_centre_orders::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace papayaglade
