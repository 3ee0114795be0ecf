#include "transport/peer_links.h"

#include <catch2/catch.hpp>
#include <memory>

namespace papayaglade {

namespace {

constexpr std::size_t kRingCapacity = 64;
constexpr std::chrono::seconds kEventTimeout{10};

// The peers worker of one instance, with the rings it delivers to.
struct test_instance {
  test_instance(const std::string& name, std::uint64_t incarnation,
                const std::string& key)
      : identity{name, incarnation},
        router(kRingCapacity),
        stewards(kRingCapacity),
        control(kRingCapacity) {
    instance_settings settings;
    settings.name = name;
    settings.peer_key = key;
    links = std::make_unique<peer_links>(settings, identity, router, stewards,
                                         control);
    while (!links->Listen({"127.0.0.1", port}).empty()) ++port;
    links->Start();
  }

  void AddPeer(const test_instance& other) const {
    links->SetAddress(other.identity, {"127.0.0.1", other.port});
  }

  // Returns the next event of type `Event` that reaches the control worker, and
  // skips events of other types.
  template <typename Event>
  Event NextEvent() {
    control_worker_event event;
    while (control.PopUntil(event, monotonic_clock::now() + kEventTimeout)) {
      if (auto* wanted = std::get_if<Event>(&event)) return *wanted;
    }
    FAIL("no event of the expected type within kEventTimeout");
    return {};
  }

  instance_identity identity;
  router_ring router;
  steward_ring stewards;
  control_ring control;
  std::uint16_t port = 28300;
  std::unique_ptr<peer_links> links;
};

using link_state = peer_link_event::link_state;

}  // namespace

TEST_CASE("only peers with the same key can exchange messages") {
  test_instance a("a", 1, "the key of the system");
  test_instance b("b", 2, "the key of the system");
  test_instance stranger("c", 3, "some other key");
  a.AddPeer(b);
  a.links->Send("b", control_message(probe{}));
  CHECK(b.NextEvent<control_event>().from == a.identity);
  stranger.AddPeer(b);
  stranger.links->Send("b", control_message(probe{}));
  const auto refused = stranger.NextEvent<peer_link_event>();
  CHECK(refused.state != link_state::kUp);
}

TEST_CASE("a refused dial is distinguished from a closed link") {
  test_instance a("a", 1, "the key of the system");
  auto b = std::make_unique<test_instance>("b", 2, "the key of the system");
  a.AddPeer(*b);
  a.links->Dial("b");
  CHECK(a.NextEvent<peer_link_event>().state == link_state::kUp);
  b.reset();
  CHECK(a.NextEvent<peer_link_event>().state == link_state::kClosed);
  a.links->Dial("b");
  CHECK(a.NextEvent<peer_link_event>().state == link_state::kRefused);
}

}  // namespace papayaglade
