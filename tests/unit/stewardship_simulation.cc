#include "stewardship_simulation.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{200};
constexpr milliseconds kSendPeriod{20};
constexpr milliseconds kFaultDuration{20'000};
constexpr milliseconds kRecoveryTime{14'000};
constexpr milliseconds kSuspicionTimeout{1800};
constexpr milliseconds kMaxPeerProofTime{5000};
constexpr int kUpstreams = 3;
constexpr int kMaxFreezeMs = 5000;

const char* const kNames[] = {"a", "b", "c", "d"};

std::pair<std::string, std::string> OrderedPair(const std::string& a,
                                                const std::string& b) {
  return std::minmax(a, b);
}

}  // namespace

stewardship_simulation::stewardship_simulation(std::uint64_t seed)
    : random_(seed) {
  timing_.max_peer_proof_time = kMaxPeerProofTime;
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams_.push_back({"service", "upstream-" + std::to_string(i)});
  }
}

std::string stewardship_simulation::Run() {
  const int instances = 1 + RandomBelow(4);
  for (int i = 0; i < instances; ++i) Start(kNames[i]);
  RunUntil(now_ + milliseconds(RandomBelow(8000)));
  const monotonic_time end = now_ + kFaultDuration;
  while (now_ < end && violation_.empty()) {
    InjectFault();
    RunUntil(now_ + milliseconds(RandomBelow(1500)));
  }
  Heal();
  RunUntil(now_ + kRecoveryTime);
  if (!violation_.empty()) return violation_;
  for (const assignable_upstream& each : upstreams_) {
    const bool served = FindAny(
        [this, &each](const process& one) { return MaySend(one, each.name); });
    if (!served) return each.name + " has no proven steward after recovery";
  }
  return "";
}

int stewardship_simulation::RandomBelow(int below) {
  return static_cast<int>(random_() % static_cast<unsigned>(below));
}

void stewardship_simulation::ScheduleAt(milliseconds delay,
                                        std::function<void()> callback) {
  events_.emplace(now_ + delay, std::move(callback));
}

void stewardship_simulation::ScheduleAtProcess(milliseconds delay,
                                               process& target,
                                               std::function<void()> callback) {
  ScheduleAt(delay, [this, &target, callback = std::move(callback)] {
    if (!target.running) return;
    if (target.frozen) {
      target.held.push_back(callback);
    } else {
      callback();
      PerformActions(target);
    }
  });
}

void stewardship_simulation::RunUntil(monotonic_time end) {
  while (violation_.empty() && !events_.empty() &&
         events_.begin()->first <= end) {
    now_ = events_.begin()->first;
    const auto callback = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    callback();
    CheckSingleSteward();
  }
  now_ = std::max(now_, end);
}

void stewardship_simulation::Start(const std::string& name) {
  processes_.push_back(std::make_unique<process>());
  process& each = *processes_.back();
  each.identity = {name, ++last_incarnation_};
  const endpoint address{"127.0.0.1",
                         static_cast<std::uint16_t>(1000 + name.front())};
  each.steward = std::make_unique<stewardship>(
      roster_member{each.identity, address, {}, 0}, "dc", timing_, random_());
  each.steward->SetUpstreams(configuration_, upstreams_);
  ScheduleAt(milliseconds(RandomBelow(200)), [this, &each] { Tick(each); });
  ScheduleAt(milliseconds(RandomBelow(20)), [this, &each] { SendWork(each); });
}

void stewardship_simulation::Stop(process& target) {
  target.running = false;
  target.held.clear();
}

void stewardship_simulation::Tick(process& each) {
  if (!each.running) return;
  ScheduleAt(kTick, [this, &each] { Tick(each); });
  if (each.frozen) return;
  ReportMembers(each);
  each.steward->OnTick(now_);
  PerformActions(each);
}

// Reports the members as membership would: an unreachable process is suspected,
// and only a reachable address that refuses proves that a process has
// terminated.
void stewardship_simulation::ReportMembers(process& each) {
  std::vector<member> seen;
  for (const auto& other : processes_) {
    if (other->identity.name == each.identity.name) continue;
    member report;
    report.identity = other->identity;
    report.peers.port =
        static_cast<std::uint16_t>(1000 + other->identity.name.front());
    const bool path =
        cuts_.count(OrderedPair(each.identity.name, other->identity.name)) == 0;
    if (path && other->running && !other->frozen) {
      each.unreachable_since.erase(std::to_string(other->identity.incarnation));
      report.state = member_state::kAlive;
    } else if (path && !other->running) {
      report.state = member_state::kDeadProven;
    } else {
      const auto since = each.unreachable_since.emplace(
          std::to_string(other->identity.incarnation), now_);
      report.state = now_ - since.first->second > kSuspicionTimeout
                         ? member_state::kDeadUnproven
                         : member_state::kSuspect;
    }
    if (other->leaving && report.state == member_state::kAlive) {
      report.state = member_state::kLeft;
    }
    seen.push_back(report);
  }
  each.steward->SetMembers(seen, now_);
  each.steward->SetUpstreams(configuration_, upstreams_);
}

void stewardship_simulation::PerformActions(process& from) {
  for (stewardship_action& action : from.steward->TakeActions()) {
    std::visit([&](auto& each) { Perform(from, std::move(each)); }, action);
  }
  const std::uint64_t epoch = from.steward->NewestRoster().epoch;
  if (epoch < from.highest_epoch) violation_ = "an epoch decreased";
  from.highest_epoch = epoch;
}

void stewardship_simulation::Perform(process& from,
                                     const send_control& action) {
  process* to = FindRunning(action.peer);
  if (to == nullptr || !Reachable(from, *to)) return;
  const bool slow = !network_reliable_ && RandomBelow(10) == 0;
  if (!network_reliable_ && RandomBelow(50) == 0) return;
  ScheduleAtProcess(milliseconds(1 + RandomBelow(slow ? 400 : 10)), *to,
                    [this, to, sender = from.identity, action] {
                      to->steward->OnMessage(sender, action.message, now_);
                    });
}

void stewardship_simulation::Perform(process& from, read_roster /*action*/) {
  roster_answer answer;
  answer.sent = now_;
  ScheduleAt(milliseconds(1 + RandomBelow(30)),
             [this, &from, answer]() mutable {
               const bool lost = !platform_up_ || from.platform_cut;
               answer.status = lost            ? platform_status::kUnreachable
                               : version_ == 0 ? platform_status::kNotFound
                                               : platform_status::kOk;
               answer.version = version_;
               if (answer.status == platform_status::kOk)
                 answer.stored = stored_;
               DeliverAnswer(from, false, answer);
             });
}

void stewardship_simulation::Perform(process& from, write_roster action) {
  roster_answer answer;
  answer.sent = now_;
  const bool late = RandomBelow(100) < lost_answer_percent_;
  ScheduleAt(milliseconds(1 + RandomBelow(late ? 3000 : 30)),
             [this, &from, answer, late, action = std::move(action)]() mutable {
               answer.status = platform_status::kUnreachable;
               if (platform_up_ && !from.platform_cut) {
                 answer.status = platform_status::kConflict;
                 if (action.expected_version == version_) {
                   answer.status = platform_status::kOk;
                   ++version_;
                   stored_ = action.next;
                 }
                 answer.version = version_;
                 if (version_ > 0) answer.stored = stored_;
               }
               if (!late) DeliverAnswer(from, true, answer);
             });
  if (!late) return;
  roster_answer lost;
  lost.sent = now_;
  ScheduleAt(milliseconds(1000),
             [this, &from, lost] { DeliverAnswer(from, true, lost); });
}

void stewardship_simulation::DeliverAnswer(process& to, bool write,
                                           roster_answer answer) {
  ScheduleAtProcess(milliseconds(1 + RandomBelow(30)), to,
                    [this, &to, write, answer = std::move(answer)] {
                      if (write) {
                        to.steward->OnRosterWritten(answer, now_);
                      } else {
                        to.steward->OnRosterRead(answer, now_);
                      }
                    });
}

// The stewards worker receives updates of its standing with a delay and in
// order.
void stewardship_simulation::Perform(process& from, standing_update action) {
  ScheduleAtProcess(milliseconds(1), from, [&from, action = std::move(action)] {
    from.standing = action;
  });
}

void stewardship_simulation::Perform(process& from, release_upstreams action) {
  ScheduleAtProcess(
      milliseconds(1), from, [this, &from, action = std::move(action)] {
        std::vector<handover> states;
        for (const std::string& each : action.upstreams) {
          auto& held = from.standing.upstreams;
          held.erase(std::remove(held.begin(), held.end(), each), held.end());
          const auto busy = from.busy_until[each].time_since_epoch().count();
          states.push_back({each, std::to_string(busy)});
          from.busy_until.erase(each);
        }
        ScheduleAtProcess(
            milliseconds(1), from,
            [this, &from, epoch = action.epoch, states = std::move(states)] {
              from.steward->OnReleased(epoch, states, now_);
            });
      });
}

void stewardship_simulation::Perform(process& from, handover_event action) {
  ScheduleAtProcess(milliseconds(1), from, [&from, action = std::move(action)] {
    for (const handover& each : action.upstreams) {
      const monotonic_time busy{
          monotonic_clock::duration(std::stoll(each.state))};
      monotonic_time& own = from.busy_until[each.upstream];
      own = std::max(own, busy);
    }
  });
}

void stewardship_simulation::Perform(process& from, leave_finished /*action*/) {
  ScheduleAt(milliseconds(50), [this, &from] { Stop(from); });
}

bool stewardship_simulation::MaySend(const process& each,
                                     const std::string& upstream) const {
  const standing_update& own = each.standing;
  const auto named = [&upstream](const std::vector<std::string>& list) {
    return std::find(list.begin(), list.end(), upstream) != list.end();
  };
  if (!each.running || now_ >= own.proven_until) return false;
  if (!named(own.upstreams)) return false;
  return !named(own.fenced) || now_ >= own.fenced_until;
}

// Every upstream is always cold and can serve one request at a time.
void stewardship_simulation::SendWork(process& from) {
  if (!from.running) return;
  ScheduleAt(kSendPeriod, [this, &from] { SendWork(from); });
  if (from.frozen) return;
  for (const assignable_upstream& each : upstreams_) {
    if (!MaySend(from, each.name) || now_ < from.busy_until[each.name]) {
      continue;
    }
    const monotonic_time end =
        now_ + milliseconds(1 + RandomBelow(static_cast<int>(
                                    timing_.max_request_time.count())));
    from.busy_until[each.name] = end;
    std::vector<monotonic_time>& running = in_flight_[each.name];
    running.erase(
        std::remove_if(running.begin(), running.end(),
                       [this](monotonic_time until) { return until <= now_; }),
        running.end());
    running.push_back(end);
    if (running.size() > 1)
      violation_ = each.name + " has two concurrent cold requests";
  }
}

void stewardship_simulation::CheckSingleSteward() {
  for (const assignable_upstream& each : upstreams_) {
    const auto proven = std::count_if(
        processes_.begin(), processes_.end(),
        [&](const auto& one) { return MaySend(*one, each.name); });
    if (proven > 1) violation_ = each.name + " has two proven stewards";
  }
}

bool stewardship_simulation::Reachable(const process& a,
                                       const process& b) const {
  return cuts_.count(OrderedPair(a.identity.name, b.identity.name)) == 0;
}

stewardship_simulation::process* stewardship_simulation::FindRunning(
    const std::string& name) {
  return FindAny([&name](const process& each) {
    return each.running && each.identity.name == name;
  });
}

stewardship_simulation::process* stewardship_simulation::FindAny(
    const std::function<bool(const process&)>& wanted) {
  const std::size_t first = random_() % processes_.size();
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    process& each = *processes_[(first + i) % processes_.size()];
    if (wanted(each)) return &each;
  }
  return nullptr;
}

void stewardship_simulation::Heal() {
  cuts_.clear();
  network_reliable_ = true;
  platform_up_ = true;
  lost_answer_percent_ = 0;
  for (const auto& each : processes_) {
    each->platform_cut = false;
    if (!each->running || !each->frozen) continue;
    each->frozen = false;
    // Held events are delivered immediately and in order, before newer events.
    const auto held = std::exchange(each->held, {});
    for (const auto& callback : held) callback();
    PerformActions(*each);
  }
  for (const char* name : kNames) {
    if (FindRunning(name) == nullptr) return Start(name);
  }
}

void stewardship_simulation::InjectFault() {
  const auto running = [](const process& each) {
    return each.running && !each.leaving;
  };
  process* victim = FindAny(running);
  const std::string a = kNames[RandomBelow(4)];
  const std::string b = kNames[RandomBelow(4)];
  switch (RandomBelow(11)) {
    case 0:
      if (victim != nullptr) Stop(*victim);
      break;
    case 1:
      if (FindRunning(a) == nullptr) Start(a);
      break;
    case 2: {
      if (victim == nullptr || victim->frozen) break;
      victim->frozen = true;
      ScheduleAt(milliseconds(RandomBelow(kMaxFreezeMs)), [this, victim] {
        if (!victim->frozen || !victim->running) return;
        victim->frozen = false;
        const auto held = std::exchange(victim->held, {});
        for (const auto& callback : held) callback();
        PerformActions(*victim);
      });
      break;
    }
    case 3:
      if (a != b) cuts_.insert(OrderedPair(a, b));
      break;
    case 4:
      for (const char* each : kNames) {
        if (a != each) cuts_.insert(OrderedPair(a, each));
      }
      break;
    case 5:
      cuts_.clear();
      break;
    case 6:
      if (victim != nullptr) victim->platform_cut = !victim->platform_cut;
      break;
    case 7:
      platform_up_ = !platform_up_;
      break;
    case 8:
      lost_answer_percent_ = RandomBelow(2) * 40;
      break;
    case 9:
      if (victim == nullptr || victim->frozen) break;
      victim->leaving = true;
      victim->steward->Leave(now_);
      PerformActions(*victim);
      break;
    default:
      ++configuration_;
      if (RandomBelow(2) == 0 && upstreams_.size() > 1) {
        upstreams_.pop_back();
      } else {
        upstreams_.push_back(
            {"service", "upstream-" + std::to_string(upstreams_.size())});
      }
  }
}

}  // namespace papayaglade
