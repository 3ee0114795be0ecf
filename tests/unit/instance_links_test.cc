#include "transport/instance_links.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "manual_peer.h"
#include "store_standin.h"

namespace papayaglade {

namespace {

constexpr std::size_t kMegabyte = 1024UL * 1024;

// The links of one instance, and what has happened on them.
struct linked_instance {
  explicit linked_instance(loop_context& loop)
      : address(FindFreeEndpoint()), links(loop) {
    links.AddHandlers(
        {[this](auto link) { open.push_back(link); },
         [this](auto link, const std::string& bytes) {
           received[link].push_back(bytes);
           return true;
         },
         [this](auto link, const std::string& why) { closed[link] = why; }});
    REQUIRE(links.Listen(address).empty());
  }

  std::size_t UnsentBytes() const {
    std::size_t bytes = 0;
    for (const auto link : open) bytes += links.UnsentBytes(link);
    return bytes;
  }

  endpoint address;
  std::vector<instance_links::id> open;
  std::map<instance_links::id, std::vector<std::string>> received;
  std::map<instance_links::id, std::string> closed;
  instance_links links;
};

std::vector<std::unique_ptr<manual_peer>> MakeSilentPeers(
    std::size_t count, const linked_instance& instance) {
  std::vector<std::unique_ptr<manual_peer>> peers;
  for (std::size_t i = 0; i < count; ++i)
    peers.push_back(std::make_unique<manual_peer>(instance.address));
  return peers;
}

}  // namespace

TEST_CASE("messages arrive unchanged in both directions", "[links]") {
  loop_context loop;
  linked_instance accepting(loop);
  linked_instance dialling(loop);
  const auto link = dialling.links.Dial(accepting.address);
  REQUIRE(RunUntil(loop, [&] {
    return dialling.open.size() == 1 && accepting.open.size() == 1;
  }));
  const auto accepted = accepting.open.front();
  // The protocol states the lengths of these in three different ways.
  std::vector<std::string> messages;
  for (const std::size_t size : {0UL, 100UL, 1000UL, 100'000UL}) {
    std::string message(size, '\0');
    std::generate(message.begin(), message.end(),
                  [value = 0]() mutable { return static_cast<char>(++value); });
    messages.push_back(message);
    dialling.links.Send(link, message);
    accepting.links.Send(accepted, message);
  }
  messages.emplace_back("of any number of links");
  dialling.links.Send(link,
                      MakeLinkFrame(messages.back(), link_end::kAccepting));
  accepting.links.Send(accepted,
                       MakeLinkFrame(messages.back(), link_end::kAccepting));
  REQUIRE(RunUntil(loop, [&] {
    return accepting.received[accepted].size() == messages.size() &&
           dialling.received[link].size() == messages.size();
  }));
  CHECK(accepting.received[accepted] == messages);
  CHECK(dialling.received[link] == messages);
  CHECK(accepting.links.UnsentBytes(accepted) == 0);
  CHECK_FALSE(accepting.links.UnsentSince(accepted).has_value());
}

// Guards against an instance that finds no source, because what it sends every
// now and then ends the links that are not open yet.
TEST_CASE("a message does not end a link that is not open yet", "[links]") {
  loop_context loop;
  linked_instance accepting(loop);
  linked_instance dialling(loop);
  const auto link = dialling.links.Dial(accepting.address);
  dialling.links.Send(link, "too early");
  REQUIRE(RunUntil(loop, [&] {
    return dialling.closed.count(link) == 1 ||
           (dialling.open.size() == 1 && accepting.open.size() == 1);
  }));
  REQUIRE(dialling.closed.empty());
  dialling.links.Send(link, "in time");
  const auto accepted = accepting.open.front();
  REQUIRE(RunUntil(loop, [&] { return accepting.received.size() == 1; }));
  CHECK(accepting.received[accepted] == std::vector<std::string>{"in time"});
}

// Guards against a process that exceeds its memory, because what is being
// written was not counted and the limit was checked before a message was added.
TEST_CASE("a link that is not read holds no more than its limit", "[links]") {
  loop_context loop;
  linked_instance instance(loop);
  const auto peers = MakeSilentPeers(1, instance);
  REQUIRE(RunUntil(loop, [&] { return instance.open.size() == 1; }));
  const auto link = instance.open.front();
  std::size_t highest = 0;
  RunUntil(loop, [&] {
    instance.links.Send(link, std::string(kMegabyte, 'm'));
    highest = std::max(highest, instance.links.UnsentBytes(link));
    return instance.closed.count(link) == 1;
  });
  REQUIRE(instance.closed.count(link) == 1);
  CHECK(instance.closed[link] == "it does not read what it is sent");
  CHECK(highest > instance_links::kMaxUnsentBytes / 2);
  CHECK(highest <= instance_links::kMaxUnsentBytes);
}

TEST_CASE("a message that is larger than the limit of a link is sent",
          "[links]") {
  loop_context loop;
  linked_instance instance(loop);
  const auto peers = MakeSilentPeers(1, instance);
  REQUIRE(RunUntil(loop, [&] { return instance.open.size() == 1; }));
  const auto link = instance.open.front();
  instance.links.Send(
      link, std::string(instance_links::kMaxUnsentBytes + kMegabyte, 'm'));
  CHECK(instance.links.UnsentBytes(link) > instance_links::kMaxUnsentBytes);
  instance.links.Send(link, "more");
  REQUIRE(RunUntil(loop, [&] { return instance.closed.count(link) == 1; }));
}

// Guards against a process that exceeds its memory, because many links hold
// what a single one may.
TEST_CASE("all links together hold no more than their limit", "[links]") {
  constexpr std::size_t kPeers = 6;
  constexpr std::size_t kMessageBytes = 7 * kMegabyte;
  loop_context loop;
  linked_instance instance(loop);
  const auto peers = MakeSilentPeers(kPeers, instance);
  REQUIRE(RunUntil(loop, [&] { return instance.open.size() == kPeers; }));
  for (const auto link : instance.open) {
    instance.links.Send(link, std::string(kMessageBytes, 'm'));
    CHECK(instance.UnsentBytes() <= instance_links::kMaxUnsentBytesOfAll);
  }
  REQUIRE(RunUntil(loop, [&] { return !instance.closed.empty(); }));
  // Those that have waited longest are the first.
  CHECK(instance.closed.count(instance.open.front()) == 1);
  CHECK(instance.closed.count(instance.open.back()) == 0);
}

// Guards against the end of all links where one has to make room: what an ended
// link held is released a little later.
TEST_CASE("no more links end than have to make room", "[links]") {
  constexpr std::size_t kPeers = 30;
  constexpr std::size_t kHolders = 3;
  loop_context loop;
  linked_instance instance(loop);
  const auto peers = MakeSilentPeers(kPeers, instance);
  REQUIRE(RunUntil(loop, [&] { return instance.open.size() == kPeers; }));
  for (std::size_t i = 0; i < kPeers; ++i) {
    const std::size_t bytes = i < kHolders ? 7 * kMegabyte : 100;
    instance.links.Send(instance.open[i], std::string(bytes, 'm'));
  }
  REQUIRE(RunUntil(loop, [&] { return !instance.closed.empty(); }));
  CHECK(instance.closed.size() == 1);
  CHECK(instance.closed.count(instance.open.front()) == 1);
}

TEST_CASE("a frame is held once, however many links send it", "[links]") {
  constexpr std::size_t kPeers = 10;
  constexpr std::size_t kMessageBytes = 7 * kMegabyte;
  loop_context loop;
  linked_instance instance(loop);
  const auto peers = MakeSilentPeers(kPeers, instance);
  REQUIRE(RunUntil(loop, [&] { return instance.open.size() == kPeers; }));
  const link_frame_pointer frame =
      MakeLinkFrame(std::string(kMessageBytes, 'm'), link_end::kAccepting);
  for (const auto link : instance.open) {
    instance.links.Send(link, frame);
    CHECK(instance.links.UnsentBytes(link) == kMessageBytes);
  }
  CHECK(frame.use_count() == 1 + kPeers);
  for (const auto link : instance.open)
    instance.links.Abort(link, "the test ends it");
  REQUIRE(RunUntil(loop, [&] { return instance.closed.size() == kPeers; }));
  CHECK(RunUntil(loop, [&] { return frame.use_count() == 1; }));
}

}  // namespace papayaglade
