#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <utility>

#include "app/copy_confirmations.h"
#include "app/unused_answers.h"
#include "applied_instance.h"
#include "logged_text.h"
#include "mirrored_instance.h"

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

}  // namespace

// Guards against a copy of the store that stands still for long without a line
// in the log.
TEST_CASE("a copy that is not confirmed in time is logged once", "[log]") {
  logged_text output;
  loop_context loop;
  structured_log log(loop, output.Descriptor());
  change_delays delays;
  delays.configuration = milliseconds(1000);
  copy_confirmations confirmations(log, delays);
  copy_status status{{3, 12}, std::nullopt, "entry-2"};
  const auto check = [&] {
    confirmations.Check(stored_kind::kConfiguration, status, true);
    log.Flush();
  };
  check();
  CHECK(output.Count("event=copy_") == 0);

  const monotonic_time now = loop_context::Now();
  CHECK(confirmations.Confirm(stored_kind::kConfiguration,
                              now - milliseconds(1500)));
  CHECK_FALSE(confirmations.Confirm(stored_kind::kConfiguration,
                                    now - milliseconds(1600)));
  check();
  check();
  CHECK(output.Count("event=copy_overdue kind=configuration era=3 revision=12 "
                     "from=entry-2 age_ms=15") == 1);
  CHECK(confirmations.Confirm(stored_kind::kConfiguration, now));
  check();
  check();
  CHECK(output.Count("event=copy_overdue") == 1);
  CHECK(output.Count("event=copy_confirmed") == 1);
}

// Guards against answers that are thrown away for ever without a line, and
// against one line for each of them.
TEST_CASE("state that is not used is counted, and logged now and then",
          "[log]") {
  logged_text output;
  loop_context loop;
  structured_log log(loop, output.Descriptor());
  unused_answers unused(log);
  for (int i = 0; i < 50; ++i) {
    unused.Add(stored_kind::kUpstreams, unused_reason::kOtherEra, {-1, 9},
               {3, 12});
  }
  unused.Add(stored_kind::kUpstreams, unused_reason::kGap, {3, 9}, {3, 12});
  log.Flush();
  CHECK(output.Count("event=state_unused") == 2);
  CHECK(output.Count("event=state_unused kind=upstreams why=other_era count=1 "
                     "era=-1 revision=9 arrived_era=3 arrived_revision=12") ==
        1);
  CHECK(unused.Count(stored_kind::kUpstreams, unused_reason::kOtherEra) == 50);
  CHECK(unused.Format().find("papayaglade_state_unused_total{kind=\"upstreams\""
                             ",why=\"other_era\"} 50\n") != std::string::npos);
}

// Guards against a confirmation by the mere fact that the store answers.
TEST_CASE("answers that are not used confirm no copy", "[log][mirror][era]") {
  loop_context loop;
  store_standin store(loop);
  store.SetEra(7);
  const mirrored_instance instance(loop, store.Address(), "entry-1", false);
  REQUIRE(RunUntil(loop, [&] { return instance.mirror->Complete(); }));
  const auto older = [&] {
    return instance.mirror->Unused().Count(stored_kind::kClosedDataCentres,
                                           unused_reason::kOlderEra);
  };
  CHECK(older() == 0);
  store.SetEra(6);
  const monotonic_time since = loop_context::Now();
  store.Put("config", "main", json::object());
  REQUIRE(RunUntil(loop, [&] { return older() > 1; }));
  const auto elapsed = loop_context::Now() - since;
  const copy_status status =
      instance.mirror->StatusOf(stored_kind::kClosedDataCentres);
  CHECK(status.at.era == 7);
  CHECK(status.source.empty());
  REQUIRE(status.confirmed_age.has_value());
  CHECK(*status.confirmed_age + milliseconds(1) >= elapsed);
  CHECK(loop_context::Now() - instance.mirror->LastAnswer() >= elapsed);
}

TEST_CASE("a copy names the instance that it came from", "[log][mirror]") {
  loop_context loop;
  store_standin store(loop);
  const instance_list instances = MakeInstances(loop, store.Address(), 4);
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {}); }));
  store.Put("servers", "i-1", json::object());
  REQUIRE(RunUntil(loop, [&] { return AllKnow(instances, {"i-1"}); }));
  std::size_t from_instances = 0;
  for (const auto& each : instances) {
    const copy_status status = each->mirror->StatusOf(stored_kind::kUpstreams);
    CHECK(status.confirmed_age.has_value());
    if (!status.source.empty()) ++from_instances;
  }
  CHECK(from_instances >= 1);
  CHECK(from_instances < instances.size());
}

// Guards against a configuration that is known and not in force, which no line
// about a request shows.
TEST_CASE("a configuration that is known and not in force is named", "[log]") {
  applied_instance instance;
  const auto apply = [&](json content) {
    instance.Apply(stored_kind::kConfiguration,
                   {{"main", false, std::move(content)}});
    return instance.applier.Unapplied();
  };
  CHECK(std::string(apply({{"version", 5}}).why).empty());
  const unapplied_configuration older = apply({{"version", 4}});
  CHECK(std::string(older.why) == "outdated");
  CHECK(older.version == 4);
  CHECK(std::string(apply({{"version", "x"}}).why) == "unreadable");
  CHECK(std::string(apply({{"version", 5}}).why).empty());
  CHECK(instance.applier.Version() == 5);
}

// Guards against not knowing whether lines about changes are among those that
// were left out.
TEST_CASE("lines that are left out are counted by kind", "[log]") {
  logged_text output;
  loop_context loop;
  structured_log log(loop, output.Descriptor());
  for (int i = 0; i < 60; ++i)
    log.Write(structured_log::kind::kFailure, log_line("request"));
  for (int i = 0; i < 30; ++i)
    log.Write(structured_log::kind::kAttempt, log_line("attempt_failed"));
  log.FlushAtEnd(milliseconds(50));
  CHECK(output.Count("event=lines_left_out count=20 failures=10 attempts=10") ==
        1);
}

}  // namespace papayaglade
