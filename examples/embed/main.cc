#include <iostream>
#include <string>
#include <utility>
#include <vector>

#include "coordination/membership.h"
#include "coordination/virtual_timer_service.h"
#include "state/member.h"
#include "state/overloaded.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kTickInterval{50};
constexpr std::chrono::seconds kRunTime{5};

member_update Self(const std::string& name, std::uint64_t incarnation) {
  member_update self;
  self.identity = {name, incarnation};
  self.peers = {"127.0.0.1", static_cast<std::uint16_t>(9000 + incarnation)};
  return self;
}

// A group member and the identity under which it sends its messages.
struct node {
  node(const std::string& name, std::uint64_t incarnation)
      : self(Self(name, incarnation)),
        members(self, "kigali", membership_settings{}, incarnation) {}

  member_update self;
  membership members;
};

// Delivers the messages that `from` sends directly to `to`. Other actions are
// ignored.
void Deliver(node& from, node& to, monotonic_time now) {
  for (const peer_action& action : from.members.TakeActions()) {
    const auto* message = std::get_if<send_to_peer>(&action);
    if (message == nullptr) continue;
    to.members.OnMessage(from.self.identity, message->message, now);
  }
}

void PrintMembers(const node& of) {
  for (const member& each : of.members.Members()) {
    std::cout << of.self.identity.name << " sees " << each.identity.name
              << " as " << MemberStateName(each.state) << "\n";
  }
}

}  // namespace

}  // namespace papayaglade

// Embeds the membership component in another program: two members find each
// other through a hint, in virtual time and without opening a port.
int main() {
  using papayaglade::node;
  papayaglade::virtual_timer_service timer;
  node a("a", 1);
  node b("b", 2);
  a.members.OnHint(b.self.identity, b.self.peers, timer.Now());
  timer.Subscribe(papayaglade::kTickInterval,
                  [&](papayaglade::monotonic_time now) {
                    a.members.OnTick(now);
                    b.members.OnTick(now);
                    papayaglade::Deliver(a, b, now);
                    papayaglade::Deliver(b, a, now);
                  });
  timer.Advance(papayaglade::kRunTime);
  papayaglade::PrintMembers(a);
  papayaglade::PrintMembers(b);
  return a.members.Members().size() == 1 ? 0 : 1;
}
