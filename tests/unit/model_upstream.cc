#include "model_upstream.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr microseconds kNetworkDelay{300};
constexpr milliseconds kConnectTime{6};
constexpr microseconds kWarmServiceTime{4000};
constexpr microseconds kColdServiceTime{24000};
constexpr milliseconds kTick{5};

}  // namespace

model_upstream::model_upstream(const upstream_limits& limits,
                               std::uint64_t seed)
    : dispatcher({"u", "kigali", {"127.0.0.1", 1}, limits}, {}, standing, *this,
                 seed),
      limits_(limits),
      random_(seed) {
  GrantLease(milliseconds(1000000));
}

void model_upstream::Restart(milliseconds down, milliseconds cold,
                             bool resets) {
  incarnation = std::to_string(++process_number_);
  down_until_ = now_ + down;
  cold_until_ = now_ + down + cold;
  last_cold_start_ = 0;  // No earlier connection reaches the new process.
  running_.clear();
  for (auto& each : connections_) {
    if (!each.second.up || each.second.silent) continue;
    if (resets) {
      ResetConnection(each.first);
    } else {
      each.second.silent = true;
    }
  }
}

void model_upstream::ResetBusyConnection() {
  for (const auto& each : running_) {
    if (IsUp(each.second.connection_id)) {
      return ResetConnection(each.second.connection_id);
    }
  }
}

void model_upstream::ResetConnection(std::uint64_t connection_id) {
  connection& broken = connections_[connection_id];
  broken.up = false;
  const connection_failed event{connection_id, connection_failure::kReset,
                                false, broken.exchange_id};
  ToSteward([this, event] { dispatcher.OnFailed(event); });
}

void model_upstream::GoColdWithoutRestart(milliseconds cold) {
  cold_until_ = now_ + cold;
  last_cold_start_ = ++cold_starts_;
}

void model_upstream::Freeze(milliseconds time) { frozen_until_ = now_ + time; }

void model_upstream::SilenceConnection() {
  for (auto& each : connections_) {
    if (each.second.up && !std::exchange(each.second.silent, true)) return;
  }
}

void model_upstream::GrantLease(milliseconds lease) {
  standing_update update;
  update.roster_epoch = 1;
  update.proven_until = now_ + lease;
  update.upstreams = {"u"};
  standing.Update(update);
  dispatcher.OnStandingChanged();
}

void model_upstream::Submit(milliseconds deadline, request_class priority) {
  auto batch = std::make_shared<shard_batch>();
  batch->origin = {"entry", 1};
  batch->priority = priority;
  batch->attempts.push_back({++last_attempt_, "s", "u"});
  const queued_attempt attempt{batch, 0, now_ + deadline, now_, 1};
  ToSteward([this, attempt] {
    dispatcher.Enqueue(attempt);
    dispatcher.DispatchQueued();
  });
  if (random_() % 20 != 0) return;
  ScheduleAt(now_ + milliseconds(5), [this, key = attempt.Key()] {
    ToSteward([this, key] { dispatcher.Cancel({key}); });
  });
}

void model_upstream::Run(milliseconds time) {
  const monotonic_time end = now_ + time;
  for (monotonic_time tick = now_; tick < end; tick += kTick) {
    ScheduleAt(tick, [this] {
      if (now_ >= frozen_until_) dispatcher.OnTick();
    });
  }
  while (!events_.empty() && events_.begin()->first <= end) {
    const auto next = events_.extract(events_.begin());
    now_ = std::max(now_, next.key());
    next.mapped()();
    CheckInFlightCount();
  }
  now_ = end;
}

bool model_upstream::Open(const open_connection& command) {
  const std::uint64_t id = command.connection_id;
  ScheduleAt(now_ + kConnectTime, [this, id] {
    connections_[id].up = now_ >= down_until_;
    if (connections_[id].up) {
      return ToSteward([this, id] { dispatcher.OnOpened(id); });
    }
    ToSteward([this, id] {
      dispatcher.OnFailed({id, connection_failure::kRefused, true, 0});
    });
  });
  return true;
}

void model_upstream::Close(std::uint64_t connection_id) {
  connections_[connection_id].up = false;
}

bool model_upstream::SendWork(std::uint64_t connection_id,
                              std::uint64_t exchange_id,
                              const queued_attempt& attempt, monotonic_time now,
                              monotonic_time not_after) {
  ++sent;
  connections_[connection_id].exchange_id = exchange_id;
  const bool warm = dispatcher.Summary().phase == steward_phase::kWarm;
  if (!warm && !standing.IsProven(now_)) ++unproven_sends;
  if (now != now_ || not_after < now_ || attempt.deadline <= now_) {
    ++stale_sends;
  }
  const int signalled = last_noticed_cold_start_;
  ScheduleAt(now_ + kNetworkDelay, [=] {
    Arrive(connection_id, exchange_id, attempt, now, signalled);
  });
  return true;
}

bool model_upstream::SendCancel(std::uint64_t connection_id,
                                std::uint64_t exchange_id,
                                const std::vector<queued_attempt>& attempts) {
  ScheduleAt(now_ + kNetworkDelay, [=] {
    if (!IsUp(connection_id)) return;
    std::vector<attempt_key> ended;
    for (const queued_attempt& each : attempts) {
      for (auto run = running_.begin(); run != running_.end();) {
        const bool match = run->second.attempt_id == each.Attempt().attempt_id;
        run = match ? running_.erase(run) : std::next(run);
      }
      const bool received = ran.count(each.Attempt().attempt_id) != 0;
      if (received) ended.push_back(each.Key());
    }
    ScheduleAt(now_ + kNetworkDelay, [=] {
      if (!IsUp(connection_id)) return;
      ToSteward([=] {
        dispatcher.OnCancelReply({connection_id, exchange_id, 200, "", true},
                                 ended);
      });
    });
  });
  return true;
}

bool model_upstream::SendHealth(std::uint64_t connection_id,
                                std::uint64_t exchange_id) {
  ScheduleAt(now_ + 2 * kNetworkDelay, [=] {
    if (!IsUp(connection_id)) return;
    ToSteward([=] {
      dispatcher.OnHealthReply({connection_id, exchange_id, 200, "", true},
                               health_answer);
    });
  });
  return true;
}

void model_upstream::Finish(const queued_attempt& attempt,
                            shard_result result) {
  results.push_back({attempt, std::move(result)});
}

void model_upstream::ScheduleAt(monotonic_time when,
                                std::function<void()> callback) {
  events_.emplace(when, std::move(callback));
}

void model_upstream::ToSteward(std::function<void()> callback) {
  if (now_ >= frozen_until_) return callback();
  ScheduleAt(frozen_until_, std::move(callback));
}

void model_upstream::Arrive(std::uint64_t connection_id,
                            std::uint64_t exchange_id,
                            const queued_attempt& attempt,
                            monotonic_time sent_at, int signalled) {
  if (!IsUp(connection_id)) return;
  const int bound = IsCold() ? limits_.cold_slots : limits_.slots;
  if (static_cast<int>(running_.size()) >= bound) {
    if (IsCold() && signalled >= last_cold_start_) ++over_cold_bound;
    upstream_reply reply;
    reply.code = IsCold() ? upstream_reply_code::kCold : refusal;
    return Answer(connection_id, exchange_id, reply);
  }
  ran.insert(attempt.Attempt().attempt_id);
  running_[exchange_id] = {connection_id, attempt.Attempt().attempt_id};
  const auto left =
      std::chrono::duration_cast<microseconds>(attempt.deadline - sent_at);
  const microseconds service = ServiceTime();
  ScheduleAt(now_ + std::min(service, left), [=] {
    if (running_.erase(exchange_id) == 0 || service > left) return;
    if (lose_answers_ && random_() % 50 == 0) return;
    upstream_reply reply;
    reply.code = upstream_reply_code::kAnswered;
    reply.incarnation = incarnation;
    Answer(connection_id, exchange_id, reply);
  });
}

void model_upstream::Answer(std::uint64_t connection_id,
                            std::uint64_t exchange_id,
                            const upstream_reply& reply) {
  ScheduleAt(now_ + kNetworkDelay, [=] {
    if (!IsUp(connection_id)) return;
    ToSteward([=] {
      if (reply.code == upstream_reply_code::kCold) {
        last_noticed_cold_start_ = last_cold_start_;
      }
      dispatcher.OnWorkReply({connection_id, exchange_id, 200, "", true},
                             reply);
    });
  });
}

bool model_upstream::IsUp(std::uint64_t connection_id) const {
  const auto found = connections_.find(connection_id);
  return found != connections_.end() && found->second.up &&
         !found->second.silent;
}

microseconds model_upstream::ServiceTime() {
  const microseconds base = IsCold() ? kColdServiceTime : kWarmServiceTime;
  const bool straggler = random_() % 100 == 0;
  const int percent = static_cast<int>(80 + random_() % 40);
  return base * percent / 100 * (straggler ? 10 : 1);
}

void model_upstream::CheckInFlightCount() {
  const int counted = dispatcher.Summary().in_flight;
  if (static_cast<int>(running_.size()) > counted) ++uncounted;
}

}  // namespace papayaglade
