#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "applied_instance.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// The users' entries are written again by then.
constexpr milliseconds kRewritten{2500};

stored_object Configuration(std::int64_t version) {
  return {"main", false, {{"version", version}}};
}

bool IsListed(const applied_instance& instance) {
  const auto& all = instance.directory.All();
  const auto found = all.find("i-1");
  return found != all.end() && !found->second->IsLeaving();
}

bool IsClosed(applied_instance& instance) {
  const std::string service = "desk";
  const std::vector<std::string> none;
  instance.Apply(stored_kind::kUpstreams, {UpstreamReport("ready", 100)});
  return instance.directory.Choose({&service, &none, milliseconds(50)},
                                   loop_context::Now()) == nullptr;
}

void Restore(applied_instance& instance) {
  const monotonic_time now = loop_context::Now();
  instance.directory.OnStoreUnavailable(now);
  instance.applier.OnNewEra(now);
}

void EndRewriting(applied_instance& instance) {
  instance.applier.ApplyDeferred(loop_context::Now() + kRewritten);
}

}  // namespace

// Guards against requests to an upstream that was gone, because a restored
// store still lists it.
TEST_CASE("an upstream that was gone is not used by an older copy",
          "[store][era]") {
  applied_instance instance;
  instance.directory.ConfirmList(loop_context::Now());
  instance.Apply(stored_kind::kUpstreams, {UpstreamReport("ready", 5)});
  instance.Apply(stored_kind::kUpstreams, {{"i-1", true}});
  Restore(instance);
  instance.Apply(stored_kind::kUpstreams, {UpstreamReport("ready", 5)});
  CHECK_FALSE(IsListed(instance));
  instance.applier.ApplyDeferred(loop_context::Now());
  CHECK_FALSE(IsListed(instance));
  SECTION("its removal is written again") {
    instance.Apply(stored_kind::kUpstreams, {{"i-1", true}});
    EndRewriting(instance);
    CHECK_FALSE(IsListed(instance));
  }
  SECTION("it reports again") {
    instance.Apply(stored_kind::kUpstreams, {UpstreamReport("ready", 6)});
    CHECK(IsListed(instance));
  }
  SECTION("it stays listed") {
    EndRewriting(instance);
    CHECK(IsListed(instance));
  }
}

// Guards against requests to an upstream that drains, because a restored store
// lists it as it was before.
TEST_CASE("an upstream that drains is not ready again by an older copy",
          "[store][era]") {
  applied_instance instance;
  instance.directory.ConfirmList(loop_context::Now());
  instance.Apply(stored_kind::kUpstreams, {UpstreamReport("ready", 5)});
  instance.Apply(stored_kind::kUpstreams, {UpstreamReport("draining", 9)});
  Restore(instance);
  instance.Apply(stored_kind::kUpstreams, {UpstreamReport("ready", 5)});
  CHECK_FALSE(IsListed(instance));
  EndRewriting(instance);
  CHECK_FALSE(IsListed(instance));
}

// Guards against requests to an upstream that drains, because a restored store
// lists the process before it under its id.
TEST_CASE("an upstream that has restarted is not undone by an older copy",
          "[store][era]") {
  constexpr std::int64_t kBefore = 1699999999000;
  applied_instance instance;
  instance.directory.ConfirmList(loop_context::Now());
  instance.Apply(stored_kind::kUpstreams,
                 {UpstreamReport("ready", 5, kBefore)});
  instance.Apply(stored_kind::kUpstreams, {UpstreamReport("ready", 1)});
  const bool drains = GENERATE(false, true);
  CAPTURE(drains);
  if (drains) {
    instance.Apply(stored_kind::kUpstreams, {UpstreamReport("draining", 2)});
  }
  Restore(instance);
  instance.Apply(stored_kind::kUpstreams,
                 {UpstreamReport("ready", 5, kBefore)});
  CHECK(IsListed(instance) == !drains);
  CHECK(instance.directory.All().at("i-1")->record.sequence < 5);
}

// Guards against failures of all upstreams that have entered themselves since
// the copy was made.
TEST_CASE("an upstream that an older copy lacks is waited for",
          "[store][era]") {
  applied_instance instance;
  instance.directory.ConfirmList(loop_context::Now());
  instance.Apply(stored_kind::kUpstreams, {UpstreamReport("ready", 5)});
  Restore(instance);
  instance.Apply(stored_kind::kUpstreams, {{"i-1", true}});
  const auto& upstream = instance.directory.All().at("i-1");
  CHECK_FALSE(upstream->HasLeft(loop_context::Now()));
  CHECK(upstream->HasLeft(loop_context::Now() + kRewritten));
  instance.Apply(stored_kind::kUpstreams, {UpstreamReport("ready", 5)});
  CHECK(IsListed(instance));
}

// Guards against requests into a data centre that is closed, because a restored
// store does not list it yet.
TEST_CASE("a closed data centre is not opened by an older copy",
          "[store][era]") {
  applied_instance instance;
  instance.Apply(stored_kind::kClosedDataCentres, {{"kigali", false, {}}});
  REQUIRE(IsClosed(instance));
  Restore(instance);
  const auto lines =
      instance.Apply(stored_kind::kClosedDataCentres, {{"kigali", true}});
  CHECK(IsClosed(instance));
  CHECK(std::any_of(lines.begin(), lines.end(), [](const std::string& each) {
    return each.find("data_centre_in_deferred") != std::string::npos;
  }));
  SECTION("its closing is written again") {
    instance.Apply(stored_kind::kClosedDataCentres, {{"kigali", false, {}}});
    EndRewriting(instance);
    CHECK(IsClosed(instance));
  }
  SECTION("it stays unlisted") {
    EndRewriting(instance);
    CHECK_FALSE(IsClosed(instance));
  }
  SECTION("a second restore") {
    Restore(instance);
    instance.applier.ApplyDeferred(loop_context::Now() + kRewritten / 2);
    CHECK(IsClosed(instance));
  }
  SECTION("it is opened later") {
    EndRewriting(instance);
    instance.Apply(stored_kind::kClosedDataCentres, {{"kigali", false, {}}});
    instance.Apply(stored_kind::kClosedDataCentres, {{"kigali", true}});
    CHECK_FALSE(IsClosed(instance));
  }
}

TEST_CASE("a configuration is not replaced by that of an older copy",
          "[store][era]") {
  applied_instance instance;
  instance.Apply(stored_kind::kConfiguration, {Configuration(14)});
  Restore(instance);
  const auto lines =
      instance.Apply(stored_kind::kConfiguration, {Configuration(10)});
  REQUIRE(lines.size() == 1);
  CHECK(lines[0].find("configuration_outdated version=10 kept=14") !=
        std::string::npos);
  instance.Apply(stored_kind::kConfiguration, {{"main", true}});
  EndRewriting(instance);
  CHECK(instance.directory.Configuration()->version == 14);
  instance.Apply(stored_kind::kConfiguration, {Configuration(20)});
  CHECK(instance.directory.Configuration()->version == 20);
}

}  // namespace papayaglade
