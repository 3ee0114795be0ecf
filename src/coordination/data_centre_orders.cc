#include "coordination/data_centre_orders.h"

#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// An order has to be in force within seconds, so a slow platform is not waited
// for.
constexpr milliseconds kPlatformTimeout{700};
constexpr milliseconds kMinStoreDelay{2000};
constexpr milliseconds kMaxStoreDelay{6000};
constexpr std::size_t kMaxOverruled = 16;

bool IsPlatformAnswer(platform_status status) {
  return status == platform_status::kOk ||
         status == platform_status::kNotFound ||
         status == platform_status::kConflict;
}

}  // namespace

std::uint64_t NextOrderGeneration(std::uint64_t newest, bool out) {
  const std::uint64_t round = newest / 2 + 1;
  return 2 * round + (out ? 1 : 0);
}

void data_centre_orders::Submit(std::uint64_t ticket,
                                const std::string& data_centre, bool out,
                                monotonic_time now) {
  known_order& known = FindOrAdd(data_centre);
  if (known.pending) {
    // Of two concurrent orders through one instance, the earlier one wins.
    actions_.emplace_back(
        order_result{ticket, order_result::verdict::kSuperseded, known.newest});
    return;
  }
  known.pending = pending_order{ticket, out, now + kPlatformTimeout};
  StartRead(known);
}

void data_centre_orders::OnOrder(const data_centre_order& order,
                                 monotonic_time now) {
  known_order& known = FindOrAdd(order.data_centre);
  UpdateNewest(known, order);
  if (stores_orders_) ScheduleStore(known, now);
}

void data_centre_orders::OnRead(const std::string& data_centre,
                                const order_answer& answer,
                                monotonic_time now) {
  known_order& known = FindOrAdd(data_centre);
  known.call_in_flight = false;
  if (!IsPlatformAnswer(answer.status)) {
    if (known.pending) DecideWithoutPlatform(known, now);
    if (known.store_retry_at) ScheduleStore(known, now);
    return;
  }
  if (answer.stored) UpdateNewest(known, *answer.stored);
  const std::uint64_t stored = answer.stored ? answer.stored->generation : 0;
  const data_centre_order& newest = known.newest;
  data_centre_order wanted = newest;
  if (known.pending &&
      (newest.out != known.pending->out || newest.generation == 0)) {
    wanted.generation =
        NextOrderGeneration(newest.generation, known.pending->out);
    wanted.out = known.pending->out;
  }
  if (wanted.generation <= stored) {
    known.store_retry_at.reset();
    if (known.pending) Finish(known, order_result::verdict::kInForce);
    return;
  }
  known.call_in_flight = true;
  actions_.emplace_back(write_order{wanted, answer.version});
}

void data_centre_orders::OnWritten(const std::string& data_centre,
                                   const order_answer& answer,
                                   monotonic_time now) {
  known_order& known = FindOrAdd(data_centre);
  known.call_in_flight = false;
  if (!IsPlatformAnswer(answer.status)) {
    if (known.pending) DecideWithoutPlatform(known, now);
    ScheduleStore(known, now);
    return;
  }
  if (answer.stored) UpdateNewest(known, *answer.stored);
  if (answer.status == platform_status::kConflict) {
    if (known.pending) Finish(known, order_result::verdict::kSuperseded);
    ScheduleStore(known, now);
    return;
  }
  known.store_retry_at.reset();
  if (!known.pending) return;
  Accept(known, order_result::verdict::kStored);
}

void data_centre_orders::OnTick(monotonic_time now) {
  for (auto& [data_centre, known] : orders_) {
    if (known.pending && known.pending->decision_deadline <= now)
      DecideWithoutPlatform(known, now);
    if (known.call_in_flight || !known.store_retry_at ||
        *known.store_retry_at > now)
      continue;
    StartRead(known);
  }
}

data_centre_orders::known_order& data_centre_orders::FindOrAdd(
    const std::string& data_centre) {
  known_order& known = orders_[data_centre];
  known.newest.data_centre = data_centre;
  return known;
}

void data_centre_orders::StartRead(known_order& known) {
  if (known.call_in_flight) return;
  known.call_in_flight = true;
  actions_.emplace_back(read_order{known.newest.data_centre});
}

void data_centre_orders::DecideWithoutPlatform(known_order& known,
                                               monotonic_time now) {
  const bool in_force =
      known.newest.generation > 0 && known.newest.out == known.pending->out;
  if (in_force) return Finish(known, order_result::verdict::kInForce);
  UpdateNewest(
      known, {known.newest.data_centre,
              NextOrderGeneration(known.newest.generation, known.pending->out),
              known.pending->out});
  ScheduleStore(known, now);
  Accept(known, order_result::verdict::kDistributed);
}

void data_centre_orders::Accept(known_order& known, order_result::verdict how) {
  known.accepted = known.newest;
  Finish(known, how);
}

void data_centre_orders::Finish(known_order& known, order_result::verdict how) {
  actions_.emplace_back(order_result{known.pending->ticket, how, known.newest});
  known.pending.reset();
}

void data_centre_orders::UpdateNewest(known_order& known,
                                      const data_centre_order& order) {
  if (order.generation <= known.newest.generation) return;
  known.newest = order;
  const bool overruled = known.accepted && known.accepted->out != order.out &&
                         known.accepted->generation / 2 == order.generation / 2;
  if (overruled) {
    if (overruled_.size() >= kMaxOverruled) {
      overruled_.erase(overruled_.begin());
    }
    overruled_.push_back(*known.accepted);
    known.accepted.reset();
  }
  actions_.emplace_back(distribute_order{order});
}

// Jitter keeps several instances from writing the same order at the same time.
void data_centre_orders::ScheduleStore(known_order& known, monotonic_time now) {
  std::uniform_int_distribution<milliseconds::rep> wait(kMinStoreDelay.count(),
                                                        kMaxStoreDelay.count());
  known.store_retry_at = now + milliseconds(wait(random_));
}

std::vector<order_action> data_centre_orders::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace papayaglade
