#include "exploration_world.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTick{200};
constexpr milliseconds kSendPeriod{20};
constexpr milliseconds kFaultTime{20'000};
constexpr milliseconds kCalmTime{14'000};
constexpr milliseconds kSuspicion{1800};
constexpr milliseconds kHorizon{5000};
constexpr int kUpstreams = 3;
constexpr int kLongestFreezeMs = 5000;

const char* const kNames[] = {"a", "b", "c", "d"};

std::pair<std::string, std::string> Pair(const std::string& a,
                                         const std::string& b) {
  return std::minmax(a, b);
}

}  // namespace

exploration_world::exploration_world(std::uint64_t seed) : random_(seed) {
  timing_.peer_horizon = kHorizon;
  for (int i = 0; i < kUpstreams; ++i) {
    upstreams_.push_back({"service", "upstream-" + std::to_string(i)});
  }
}

std::string exploration_world::Run() {
  const int instances = 1 + Draw(4);
  for (int i = 0; i < instances; ++i) Start(kNames[i]);
  RunUntil(now_ + milliseconds(Draw(8000)));
  const monotonic_time end = now_ + kFaultTime;
  while (now_ < end && broken_.empty()) {
    Fault();
    RunUntil(now_ + milliseconds(Draw(1500)));
  }
  Heal();
  RunUntil(now_ + kCalmTime);
  if (!broken_.empty()) return broken_;
  for (const assignable_upstream& each : upstreams_) {
    const bool served = Any(
        [this, &each](const process& one) { return MaySend(one, each.name); });
    if (!served) return each.name + " has no proven steward after the calm";
  }
  return "";
}

int exploration_world::Draw(int below) {
  return static_cast<int>(random_() % static_cast<unsigned>(below));
}

void exploration_world::At(milliseconds delay, std::function<void()> what) {
  events_.emplace(now_ + delay, std::move(what));
}

void exploration_world::AtProcess(milliseconds delay, process& target,
                                  std::function<void()> what) {
  At(delay, [this, &target, what = std::move(what)] {
    if (!target.running) return;
    if (target.frozen) {
      target.held.push_back(what);
    } else {
      what();
      Carry(target);
    }
  });
}

void exploration_world::RunUntil(monotonic_time end) {
  while (broken_.empty() && !events_.empty() && events_.begin()->first <= end) {
    now_ = events_.begin()->first;
    const auto what = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    what();
    Check();
  }
  now_ = std::max(now_, end);
}

void exploration_world::Start(const std::string& name) {
  processes_.push_back(std::make_unique<process>());
  process& each = *processes_.back();
  each.identity = {name, ++last_incarnation_};
  const endpoint address{"127.0.0.1",
                         static_cast<std::uint16_t>(1000 + name.front())};
  each.machine = std::make_unique<stewardship>(
      roster_member{each.identity, address, {}, 0}, "dc", timing_, random_());
  each.machine->SetUpstreams(configuration_, upstreams_);
  At(milliseconds(Draw(200)), [this, &each] { Tick(each); });
  At(milliseconds(Draw(20)), [this, &each] { Send(each); });
}

void exploration_world::Stop(process& target) {
  target.running = false;
  target.held.clear();
}

void exploration_world::Tick(process& each) {
  if (!each.running) return;
  At(kTick, [this, &each] { Tick(each); });
  if (each.frozen) return;
  Observe(each);
  each.machine->OnTick(now_);
  Carry(each);
}

// What the membership would report: silence is suspected, and only an address
// that can be reached and refuses proves a process gone.
void exploration_world::Observe(process& each) {
  std::vector<member> seen;
  for (const auto& other : processes_) {
    if (other->identity.name == each.identity.name) continue;
    member report;
    report.identity = other->identity;
    report.peers.port =
        static_cast<std::uint16_t>(1000 + other->identity.name.front());
    const bool path =
        cuts_.count(Pair(each.identity.name, other->identity.name)) == 0;
    if (path && other->running && !other->frozen) {
      each.unreachable_since.erase(std::to_string(other->identity.incarnation));
      report.state = member_state::kAlive;
    } else if (path && !other->running) {
      report.state = member_state::kDeadProven;
    } else {
      const auto since = each.unreachable_since.emplace(
          std::to_string(other->identity.incarnation), now_);
      report.state = now_ - since.first->second > kSuspicion
                         ? member_state::kDeadUnproven
                         : member_state::kSuspect;
    }
    if (other->leaving && report.state == member_state::kAlive) {
      report.state = member_state::kLeft;
    }
    seen.push_back(report);
  }
  each.machine->SetMembers(seen, now_);
  each.machine->SetUpstreams(configuration_, upstreams_);
}

void exploration_world::Carry(process& from) {
  for (stewardship_action& action : from.machine->TakeActions()) {
    std::visit([&](auto& each) { Perform(from, std::move(each)); }, action);
  }
  const std::uint64_t epoch = from.machine->Newest().epoch;
  if (epoch < from.highest_epoch) broken_ = "an epoch stepped back";
  from.highest_epoch = epoch;
}

void exploration_world::Perform(process& from, send_control action) {
  process* to = Running(action.peer);
  if (to == nullptr || !Reachable(from, *to)) return;
  const bool slow = !calm_ && Draw(10) == 0;
  if (!calm_ && Draw(50) == 0) return;
  AtProcess(milliseconds(1 + Draw(slow ? 400 : 10)), *to,
            [this, to, sender = from.identity, action] {
              to->machine->OnMessage(sender, action.message, now_);
            });
}

void exploration_world::Perform(process& from, read_roster /*action*/) {
  roster_answer answer;
  answer.sent = now_;
  At(milliseconds(1 + Draw(30)), [this, &from, answer]() mutable {
    const bool lost = !platform_up_ || from.platform_cut;
    answer.status = lost            ? platform_status::kUnreachable
                    : version_ == 0 ? platform_status::kNotFound
                                    : platform_status::kOk;
    answer.version = version_;
    if (answer.status == platform_status::kOk) answer.stored = stored_;
    Answer(from, false, answer);
  });
}

void exploration_world::Perform(process& from, write_roster action) {
  roster_answer answer;
  answer.sent = now_;
  const bool late = Draw(100) < lost_answers_;
  At(milliseconds(1 + Draw(late ? 3000 : 30)),
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
       if (!late) Answer(from, true, answer);
     });
  if (!late) return;
  roster_answer lost;
  lost.sent = now_;
  At(milliseconds(1000), [this, &from, lost] { Answer(from, true, lost); });
}

void exploration_world::Answer(process& to, bool write, roster_answer answer) {
  AtProcess(milliseconds(1 + Draw(30)), to,
            [this, &to, write, answer = std::move(answer)] {
              if (write) {
                to.machine->OnRosterWritten(answer, now_);
              } else {
                to.machine->OnRosterRead(answer, now_);
              }
            });
}

// The stewards duty learns of its standing a little later, in order.
void exploration_world::Perform(process& from, standing_update action) {
  AtProcess(milliseconds(1), from,
            [&from, action = std::move(action)] { from.standing = action; });
}

void exploration_world::Perform(process& from, release_upstreams action) {
  AtProcess(milliseconds(1), from, [this, &from, action = std::move(action)] {
    std::vector<handover> states;
    for (const std::string& each : action.upstreams) {
      auto& held = from.standing.upstreams;
      held.erase(std::remove(held.begin(), held.end(), each), held.end());
      const auto busy = from.busy_until[each].time_since_epoch().count();
      states.push_back({each, std::to_string(busy)});
      from.busy_until.erase(each);
    }
    AtProcess(milliseconds(1), from,
              [this, &from, epoch = action.epoch, states = std::move(states)] {
                from.machine->OnReleased(epoch, states, now_);
              });
  });
}

void exploration_world::Perform(process& from, handover_event action) {
  AtProcess(milliseconds(1), from, [&from, action = std::move(action)] {
    for (const handover& each : action.upstreams) {
      const monotonic_time busy{
          monotonic_clock::duration(std::stoll(each.state))};
      monotonic_time& own = from.busy_until[each.upstream];
      own = std::max(own, busy);
    }
  });
}

void exploration_world::Perform(process& from, leave_finished /*action*/) {
  At(milliseconds(50), [this, &from] { Stop(from); });
}

bool exploration_world::MaySend(const process& each,
                                const std::string& upstream) const {
  const standing_update& own = each.standing;
  const auto named = [&upstream](const std::vector<std::string>& list) {
    return std::find(list.begin(), list.end(), upstream) != list.end();
  };
  if (!each.running || now_ >= own.proven_until) return false;
  if (!named(own.upstreams)) return false;
  return !named(own.fenced) || now_ >= own.fenced_until;
}

// Every upstream is cold all the time and bears one request.
void exploration_world::Send(process& from) {
  if (!from.running) return;
  At(kSendPeriod, [this, &from] { Send(from); });
  if (from.frozen) return;
  for (const assignable_upstream& each : upstreams_) {
    if (!MaySend(from, each.name) || now_ < from.busy_until[each.name]) {
      continue;
    }
    const monotonic_time end =
        now_ + milliseconds(
                   1 + Draw(static_cast<int>(timing_.longest_request.count())));
    from.busy_until[each.name] = end;
    std::vector<monotonic_time>& running = in_flight_[each.name];
    running.erase(
        std::remove_if(running.begin(), running.end(),
                       [this](monotonic_time until) { return until <= now_; }),
        running.end());
    running.push_back(end);
    if (running.size() > 1) broken_ = each.name + " bears two cold requests";
  }
}

void exploration_world::Check() {
  for (const assignable_upstream& each : upstreams_) {
    const auto proven = std::count_if(
        processes_.begin(), processes_.end(),
        [&](const auto& one) { return MaySend(*one, each.name); });
    if (proven > 1) broken_ = each.name + " has two proven stewards";
  }
}

bool exploration_world::Reachable(const process& a, const process& b) const {
  return cuts_.count(Pair(a.identity.name, b.identity.name)) == 0;
}

exploration_world::process* exploration_world::Running(
    const std::string& name) {
  return Any([&name](const process& each) {
    return each.running && each.identity.name == name;
  });
}

exploration_world::process* exploration_world::Any(
    const std::function<bool(const process&)>& wanted) {
  const std::size_t first = random_() % processes_.size();
  for (std::size_t i = 0; i < processes_.size(); ++i) {
    process& each = *processes_[(first + i) % processes_.size()];
    if (wanted(each)) return &each;
  }
  return nullptr;
}

void exploration_world::Heal() {
  cuts_.clear();
  calm_ = true;
  platform_up_ = true;
  lost_answers_ = 0;
  for (const auto& each : processes_) {
    each->platform_cut = false;
    if (!each->running || !each->frozen) continue;
    each->frozen = false;
    // What was held comes at once, in order, before anything newer.
    const auto held = std::exchange(each->held, {});
    for (const auto& what : held) what();
    Carry(*each);
  }
  for (const char* name : kNames) {
    if (Running(name) == nullptr) return Start(name);
  }
}

void exploration_world::Fault() {
  const auto running = [](const process& each) {
    return each.running && !each.leaving;
  };
  process* victim = Any(running);
  const std::string a = kNames[Draw(4)];
  const std::string b = kNames[Draw(4)];
  switch (Draw(11)) {
    case 0:
      if (victim != nullptr) Stop(*victim);
      break;
    case 1:
      if (Running(a) == nullptr) Start(a);
      break;
    case 2: {
      if (victim == nullptr || victim->frozen) break;
      victim->frozen = true;
      At(milliseconds(Draw(kLongestFreezeMs)), [this, victim] {
        if (!victim->frozen || !victim->running) return;
        victim->frozen = false;
        const auto held = std::exchange(victim->held, {});
        for (const auto& what : held) what();
        Carry(*victim);
      });
      break;
    }
    case 3:
      if (a != b) cuts_.insert(Pair(a, b));
      break;
    case 4:
      for (const char* each : kNames) {
        if (a != each) cuts_.insert(Pair(a, each));
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
      lost_answers_ = Draw(2) * 40;
      break;
    case 9:
      if (victim == nullptr || victim->frozen) break;
      victim->leaving = true;
      victim->machine->Leave(now_);
      Carry(*victim);
      break;
    default:
      ++configuration_;
      if (Draw(2) == 0 && upstreams_.size() > 1) {
        upstreams_.pop_back();
      } else {
        upstreams_.push_back(
            {"service", "upstream-" + std::to_string(upstreams_.size())});
      }
  }
}

}  // namespace papayaglade
