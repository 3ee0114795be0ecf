#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "app/store_feed.h"
#include "mirrored_instance.h"

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using part = store_standin::read_call::part;

constexpr milliseconds kWait{1000};

// A feed of the upstreams whose pages are all taken.
class single_feed {
 public:
  single_feed(loop_context& loop, const store_standin& store)
      : log_(loop),
        feed_(loop, format_, log_, era, store.Address(),
              stored_kind::kUpstreams, kWait, MakeHandlers()) {}

  store_feed& Feed() { return feed_; }

  store_era era;
  std::size_t lists = 0;
  std::size_t events = 0;

 private:
  store_feed::handlers MakeHandlers() {
    store_feed::handlers handlers;
    handlers.on_list = [this](const auto&...) { return ++lists > 0; };
    handlers.on_events = [this](const auto&...) { return ++events > 0; };
    return handlers;
  }

  platform::platform_store_format format_;
  structured_log log_;
  store_feed feed_;
};

void RunFor(loop_context& loop, milliseconds time) {
  const monotonic_time start = loop_context::Now();
  RunUntil(loop, [&] { return loop_context::Now() - start >= time; });
}

std::size_t CountReads(const store_standin& store, const std::string& kind,
                       part asked) {
  std::size_t count = 0;
  for (const auto& each : store.Reads()) {
    if (each.kind == kind && each.asked == asked) ++count;
  }
  return count;
}

// A store that names no era and goes back to an earlier state.
void GoBack(store_standin& store, const store_standin::copy& from) {
  store.Restore(from);
  store.SetEra(kNoEra);
}

}  // namespace

// Guards against a watch that is asked without a pause and for ever, because
// its position came from an instance of an earlier version that names no era.
TEST_CASE("a watch from a position without an era ends in a list",
          "[feed][era][vain]") {
  constexpr std::size_t kMaxCalls = 8;
  loop_context loop;
  store_standin store(loop);
  store.SetEra(7);
  single_feed single(loop, store);
  single.era.Observe(7);
  single.Feed().SkipTo({kNoEra, store.Revision()});
  single.Feed().SetActive(true);
  store.Put("servers", "i-1", json::object());
  RunFor(loop, milliseconds(500));
  CHECK(single.lists == 1);
  CHECK(single.Feed().CallCount() <= kMaxCalls);
}

// Guards against an instance that keeps an old configuration for ever, because
// the changes that it missed are more than it reads of one answer (review/8).
TEST_CASE("changes that are too large for one answer are listed",
          "[mirror][vain]") {
  constexpr std::size_t kStateBytes = 1'000'000;
  constexpr int kStates = 9;
  loop_context loop;
  store_standin store(loop);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] {
    return instance.mirror->Complete() &&
           store.WaitingWatchCount("config") == 1;
  }));
  store.SetDown(true);
  for (int i = 0; i < kStates; ++i)
    store.Put("config", "main", {{"x", std::string(kStateBytes, 'x')}});
  store.Put("config", "last", json::object());
  store.SetDown(false);
  CHECK(RunUntil(loop, [&] {
    return instance.received.count({stored_kind::kConfiguration, "last"}) == 1;
  }));
  CHECK(instance.mirror->Unused().Count(stored_kind::kConfiguration,
                                        unused_reason::kTooLarge) == 1);
}

// Guards against an instance that never learns of a change, because the answer
// that holds it cannot be read, however often it is asked for.
TEST_CASE("a watch whose answer cannot be read ends in a list",
          "[mirror][vain]") {
  loop_context loop;
  store_standin store(loop);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] {
    return instance.mirror->Complete() &&
           store.WaitingWatchCount("servers") == 1;
  }));
  const std::int64_t known = store.Revision();
  store.SetAnswerEdit([&](const auto& call, const std::string& answer) {
    const bool spoilt = call.asked == part::kWatch && call.since <= known;
    return spoilt ? store.Answer(200, "{") : answer;
  });
  store.Put("servers", "i-1", json::object());
  CHECK(RunUntil(loop, [&] { return instance.upstreams.count("i-1") == 1; }));
}

// Guards against a list that asks for the same page for ever, which cannot be
// read after a name that is there no more.
TEST_CASE("a list whose later page cannot be read begins again",
          "[mirror][vain]") {
  loop_context loop;
  store_standin store(loop);
  store.Put("servers", "i-1", json::object());
  store.SetLaterPages(store_standin::later_pages::kEmpty);
  store.SetAnswerEdit([&](const auto& call, const std::string& answer) {
    const bool spoilt = call.asked == part::kLaterPage &&
                        CountReads(store, call.kind, part::kFirstPage) == 1;
    return spoilt ? store.Answer(200, "{") : answer;
  });
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  CHECK(RunUntil(loop, [&] { return instance.mirror->Complete(); }));
  CHECK(instance.upstreams == std::set<std::string>{"i-1"});
}

// Guards against an instance that refuses each list of a store that names no
// era and has gone back, because its revisions are below the known one.
TEST_CASE("a store that says again that it has gone back is believed",
          "[mirror][vain]") {
  loop_context loop;
  store_standin store(loop);
  store.SetEra(kNoEra);
  store.Put("servers", "i-1", json::object());
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  const auto copy = store.Copy();
  store.Put("servers", "i-2", json::object());
  store.Put("servers", "i-3", json::object());
  REQUIRE(RunUntil(loop, [&] {
    return instance.upstreams == std::set<std::string>{"i-1", "i-2", "i-3"};
  }));
  GoBack(store, copy);
  REQUIRE(RunUntil(loop, [&] {
    return instance.upstreams == std::set<std::string>{"i-1"};
  }));
  store.Put("servers", "i-4", json::object());
  CHECK(RunUntil(loop, [&] {
    return instance.upstreams == std::set<std::string>{"i-1", "i-4"};
  }));
}

// Guards against a copy that one late answer turns back, and against one that
// is confirmed by an answer that says something else.
TEST_CASE("a single list that contradicts the copy is not believed",
          "[mirror][vain]") {
  loop_context loop;
  store_standin store(loop);
  store.SetEra(kNoEra);
  store.Put("servers", "i-1", json::object());
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] {
    return instance.mirror->Complete() &&
           store.WaitingWatchCount("servers") == 1;
  }));
  const auto lists = [&] {
    return CountReads(store, "servers", part::kFirstPage);
  };
  bool late = false;
  bool gone = true;
  std::optional<monotonic_time> confirmed;
  store.SetAnswerEdit([&](const auto& call, const std::string& answer) {
    if (call.kind != "servers") return answer;
    if (call.asked == part::kWatch && std::exchange(gone, false))
      return store.Answer(410, "{}");
    if (call.asked == part::kWatch || std::exchange(late, true)) return answer;
    confirmed = instance.confirmed_at;
    store.SetDown(true);
    return store.Answer(200, R"({"items":[],"at":1})");
  });
  const std::size_t before = lists();
  // Ends the watch.
  store.Put("servers", "i-1", json::object());
  REQUIRE(RunUntil(loop, [&] { return late; }));
  RunFor(loop, milliseconds(200));
  CHECK(instance.confirmed_at == confirmed);
  CHECK(instance.upstreams == std::set<std::string>{"i-1"});
  store.SetDown(false);
  REQUIRE(RunUntil(loop, [&] { return lists() >= before + 2; }));
  RunFor(loop, milliseconds(200));
  CHECK(instance.upstreams == std::set<std::string>{"i-1"});
  CHECK(instance.confirmed_at > confirmed);
}

// Guards against an instance that has the word of another one that the store
// was restored, and asks nobody, as it was between two calls.
TEST_CASE("a feed that is between two calls lists when it is told to",
          "[feed][era][vain]") {
  loop_context loop;
  store_standin store(loop);
  store.SetEarlyAnswers(true);
  single_feed single(loop, store);
  single.Feed().SetActive(true);
  REQUIRE(RunUntil(loop, [&] { return single.events == 1; }));
  // The next call is made after a pause.
  single.Feed().ListAgain();
  CHECK(RunUntil(loop, [&] { return single.lists == 2; }));
  CHECK(single.lists == 2);
}

// Guards against a copy that drops every change for good, as its position is
// ahead of a store that has gone back to a state with the same objects.
TEST_CASE("changes of a store that went back to what the copy holds count",
          "[mirror][vain]") {
  loop_context loop;
  store_standin store(loop);
  store.SetEra(kNoEra);
  store.Put("servers", "i-1", json::object());
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  const auto copy = store.Copy();
  store.Put("servers", "i-2", json::object());
  REQUIRE(RunUntil(loop, [&] { return instance.upstreams.count("i-2") == 1; }));
  store.Delete("servers", "i-2");
  const auto is_calm = [&] {
    return instance.upstreams == std::set<std::string>{"i-1"} &&
           store.WaitingWatchCount("servers") == 1;
  };
  REQUIRE(RunUntil(loop, is_calm));
  const std::size_t lists = store.ListCount("servers");
  GoBack(store, copy);
  REQUIRE(RunUntil(
      loop, [&] { return store.ListCount("servers") > lists && is_calm(); }));
  store.Put("servers", "i-3", json::object());
  CHECK(RunUntil(loop, [&] {
    return instance.upstreams == std::set<std::string>{"i-1", "i-3"};
  }));
}

// Guards against configurations that are not asked for, for as long as one
// other kind of the store's objects cannot be read.
TEST_CASE("a kind that cannot be read keeps no other one from being read",
          "[mirror][vain]") {
  loop_context loop;
  store_standin store(loop);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] {
    return instance.mirror->Complete() &&
           store.WaitingWatchCount("evacuations") == 1;
  }));
  bool spoilt = false;
  store.SetAnswerEdit([&](const auto& call, const std::string& answer) {
    if (call.kind != "evacuations") return answer;
    spoilt = true;
    return store.Answer(200, "{");
  });
  store.Put("evacuations", "kigali", json::object());
  REQUIRE(RunUntil(loop, [&] { return spoilt; }));
  RunFor(loop, milliseconds(100));
  store.Put("config", "main", json::object());
  store.Put("servers", "i-1", json::object());
  CHECK(RunUntil(loop, [&] {
    return instance.received.count({stored_kind::kConfiguration, "main"}) ==
               1 &&
           instance.upstreams.count("i-1") == 1;
  }));
}

// Guards against an instance that knows of a restore and goes on with the state
// before it, as its sources are of a version that names no era.
TEST_CASE("no source without an era hides a restore that is known",
          "[mirror][vain]") {
  loop_context loop;
  store_standin before(loop);
  before.SetEra(kNoEra);
  before.Put("servers", "i-old", json::object());
  store_standin restored(loop);
  restored.SetEra(2);
  restored.Put("servers", "i-new", json::object());
  const mirrored_instance first(loop, before.Address(), "entry-1", true);
  const mirrored_instance second(loop, before.Address(), "entry-2", true);
  mirrored_instance newer(loop, restored.Address(), "entry-3", true);
  std::vector<fleet_member> members{first.Member("entry-1"),
                                    second.Member("entry-2"),
                                    newer.Member("entry-3")};
  members[0].cores = members[1].cores = 4;
  for (const auto* each : {&first, &second, &std::as_const(newer)})
    each->mirror->SetMembers(members);
  REQUIRE(RunUntil(loop, [&] { return newer.upstreams.count("i-old") == 1; }));
  REQUIRE(restored.WatchCount() == 0);
  newer.era.Observe(1);
  newer.era.Observe(2);
  CHECK(RunUntil(loop, [&] { return newer.upstreams.count("i-new") == 1; }));
}

// Guards against a copy that counts as confirmed, because the instance that it
// follows answers, although that one's own copy is not confirmed any more.
TEST_CASE("a follower's copy is confirmed no later than that of its sources",
          "[mirror][vain]") {
  loop_context loop;
  store_standin store(loop);
  const auto instances = MakeInstances(loop, store.Address(), 4);
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {}); }));
  bool spoilt = false;
  store.SetAnswerEdit([&](const auto& call, const std::string& answer) {
    if (call.kind != "config") return answer;
    spoilt = true;
    return store.Answer(200, R"({"events":[],"items":[],"at":1})");
  });
  store.Put("config", "main", json::object());
  REQUIRE(RunUntil(loop, [&] { return spoilt; }));
  RunFor(loop, milliseconds(3000));
  for (const auto& each : instances) {
    const copy_status copy =
        each->mirror->StatusOf(stored_kind::kConfiguration);
    INFO("from " << copy.source);
    REQUIRE(copy.confirmed_age.has_value());
    CHECK(copy.confirmed_age->count() >= 2500);
  }
}

}  // namespace papayaglade
