#include "coordination/object_mirror.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace papayaglade {

namespace {

constexpr stored_kind kKind = stored_kind::kUpstreams;
constexpr std::int64_t kEra = 3;

mirror_page Page(std::int64_t from, std::int64_t to,
                 std::vector<mirrored_object> objects, bool whole = false) {
  const auto content = whole ? page_content::kWhole : page_content::kChanges;
  return {kKind, content, {kEra, from}, {kEra, to}, 0, std::move(objects)};
}

object_mirror MirrorOf(std::vector<mirrored_object> objects, std::int64_t at) {
  object_mirror mirror(kKind);
  mirror.Apply(Page(0, at, std::move(objects), true));
  return mirror;
}

}  // namespace

TEST_CASE("a copy starts with all objects and follows their changes",
          "[mirror]") {
  object_mirror mirror(kKind);
  CHECK_FALSE(mirror.Apply(Page(0, 5, {{"a", false, "1"}})).has_value());
  CHECK_FALSE(mirror.IsComplete());
  const auto first = mirror.Apply(Page(0, 10, {{"a", false, "1"}}, true));
  REQUIRE(first.has_value());
  CHECK(first->size() == 1);
  CHECK(mirror.IsComplete());
  const auto next =
      mirror.Apply(Page(10, 12, {{"a", true, ""}, {"b", false, "2"}}));
  REQUIRE(next.has_value());
  CHECK(next->size() == 2);
  CHECK(mirror.At().revision == 12);
  CHECK(mirror.Size() == 1);
}

TEST_CASE("a copy never goes back and applies nothing after a gap",
          "[mirror]") {
  object_mirror mirror = MirrorOf({{"a", false, "1"}}, 10);
  CHECK_FALSE(mirror.Apply(Page(0, 9, {}, true)).has_value());
  CHECK_FALSE(mirror.Apply(Page(8, 10, {{"a", true, ""}})).has_value());
  CHECK_FALSE(mirror.Apply(Page(11, 12, {{"a", true, ""}})).has_value());
  mirror_page other = Page(10, 12, {{"a", true, ""}});
  other.kind = stored_kind::kConfiguration;
  CHECK_FALSE(mirror.Apply(other).has_value());
  CHECK(mirror.Size() == 1);
  CHECK(mirror.At().revision == 10);
}

// Guards against a page that is taken for the store's word on this copy,
// although it says something else or starts after it.
TEST_CASE("a copy knows which pages of the store connect to it",
          "[mirror][vain]") {
  const object_mirror mirror = MirrorOf({{"a", false, "1"}}, 10);
  const std::vector<mirrored_object> same{{"a", false, "1"}};
  const std::vector<mirrored_object> other{{"a", false, "2"}};
  using relation = page_relation;
  CHECK(mirror.RelationOf(Page(10, 11, other)) == relation::kNewer);
  CHECK(mirror.RelationOf(Page(8, 11, other)) == relation::kNewer);
  CHECK(mirror.RelationOf(Page(0, 11, other, true)) == relation::kNewer);
  CHECK(mirror.RelationOf(Page(10, 10, {})) == relation::kHeld);
  CHECK(mirror.RelationOf(Page(8, 10, same)) == relation::kHeld);
  CHECK(mirror.RelationOf(Page(0, 9, same, true)) == relation::kHeld);
  CHECK(mirror.RelationOf(Page(8, 9, other)) == relation::kOvertaken);
  CHECK(mirror.RelationOf(Page(11, 12, same)) == relation::kUnconnected);
  CHECK(mirror.RelationOf(Page(10, 9, {})) == relation::kUnconnected);
  CHECK(mirror.RelationOf(Page(10, 10, other)) == relation::kUnconnected);
  CHECK(mirror.RelationOf(Page(0, 10, other, true)) == relation::kUnconnected);
  CHECK(mirror.RelationOf(Page(0, 9, {}, true)) == relation::kUnconnected);
  CHECK(object_mirror(kKind).RelationOf(Page(0, 5, same)) ==
        relation::kUnconnected);
}

// Guards against a copy that one late answer turns back, and against one that
// refuses for ever what a store says that has gone back and names no new era.
TEST_CASE("a list that contradicts a copy is taken the second time in a row",
          "[mirror][vain]") {
  object_mirror mirror = MirrorOf({{"a", false, "1"}}, 10);
  mirror.ApplyFromStore(Page(10, 12, {{"b", false, "1"}, {"c", true, ""}}));
  const mirror_page back = Page(0, 9, {{"a", false, "1"}}, true);
  CHECK_FALSE(mirror.ApplyFromStore(back).has_value());
  SECTION("a page in between connects") {
    mirror.ApplyFromStore(Page(12, 12, {}));
    CHECK_FALSE(mirror.ApplyFromStore(back).has_value());
  }
  SECTION("another source has moved the copy on") {
    REQUIRE(mirror.Apply(Page(12, 13, {{"d", false, "1"}})).has_value());
    CHECK_FALSE(mirror.ApplyFromStore(back).has_value());
    CHECK(mirror.ApplyFromStore(back).has_value());
  }
  SECTION("the second time in a row") {
    const auto changes = mirror.ApplyFromStore(back);
    REQUIRE(changes.has_value());
    CHECK(changes->size() == 1);
    CHECK(mirror.At().revision == 9);
    CHECK(mirror.Size() == 1);
    // What changed later in the history before tells nothing.
    mirror.ApplyFromStore(Page(9, 11, {{"e", false, "1"}}));
    const auto since = mirror.PageSince({kKind, {kEra, 8}, 0});
    REQUIRE(since.has_value());
    CHECK(since->content == page_content::kWhole);
    CHECK(mirror.PageSince({kKind, {kEra, 9}, 0})->objects.size() == 1);
  }
}

// Guards against undoing changes when the pages of two sources overlap: an
// upstream that drains must not count as ready again for a moment.
TEST_CASE("known changes are not reported again", "[mirror]") {
  object_mirror mirror = MirrorOf({{"a", false, "ready"}}, 10);
  mirror.Apply(Page(10, 14, {{"a", false, "slow"}, {"a", false, "leaving"}}));
  const auto again = mirror.Apply(Page(
      10, 15,
      {{"a", false, "slow"}, {"a", false, "leaving"}, {"b", false, "ready"}}));
  REQUIRE(again.has_value());
  REQUIRE(again->size() == 1);
  CHECK(again->at(0).name == "b");
}

TEST_CASE("a new list reports added, changed and removed objects", "[mirror]") {
  object_mirror mirror =
      MirrorOf({{"a", false, "1"}, {"b", false, "1"}, {"c", false, "1"}}, 10);
  const auto changes = mirror.Apply(Page(
      0, 20, {{"a", false, "1"}, {"b", false, "2"}, {"d", false, "1"}}, true));
  REQUIRE(changes.has_value());
  std::map<std::string, bool> reported;
  for (const auto& each : *changes) reported[each.name] = each.deleted;
  CHECK(reported ==
        std::map<std::string, bool>{{"b", false}, {"c", true}, {"d", false}});
}

// Guards against a configuration that a follower never learns: the page that
// has it does not apply, since it starts after a gap, and a report of the
// source, which comes before the answer to the new subscription, names a
// revision beyond it.
TEST_CASE("a report of another copy hides no change that is still to come",
          "[mirror]") {
  object_mirror source = MirrorOf({{"a", false, "1"}}, 10);
  object_mirror follower = MirrorOf({{"a", false, "1"}}, 10);
  source.Apply(Page(10, 11, {{"a", false, "2"}}));
  const mirror_position asked = follower.Position();
  const auto answer = source.PageSince(asked);
  REQUIRE(answer.has_value());
  // This page comes without the one before it.
  CHECK_FALSE(follower.Apply(Page(11, 12, {{"b", false, "1"}})).has_value());
  source.Apply(Page(11, 12, {{"b", false, "1"}}));
  CHECK_FALSE(follower.AdvanceTo(source.Position()));
  CHECK(follower.At().revision == 10);
  CHECK(follower.Apply(*answer).has_value());
  CHECK_FALSE(follower.AdvanceTo(source.Position()));
  const auto rest = source.PageSince(follower.Position());
  REQUIRE(rest.has_value());
  CHECK(follower.Apply(*rest).has_value());
  CHECK(follower.Digest() == source.Digest());
  CHECK(follower.AdvanceTo(source.Position()));
}

// Guards against a copy that refuses the state of a restored store, or takes
// that of the store before for it, because it compares their revisions.
TEST_CASE("revisions of different eras are not compared", "[mirror][era]") {
  object_mirror mirror = MirrorOf({{"a", false, "1"}}, 500);
  mirror_page restored = Page(0, 20, {{"b", false, "1"}}, true);
  restored.to.era = kEra + 1;
  SECTION("a later era is taken at a lower revision") {
    const auto changes = mirror.Apply(restored);
    REQUIRE(changes.has_value());
    CHECK(changes->size() == 2);
    CHECK(mirror.At() == store_position(kEra + 1, 20));
    CHECK_FALSE(mirror.Apply(Page(0, 600, {}, true)).has_value());
    CHECK_FALSE(mirror.Apply(Page(20, 600, {{"b", true, ""}})).has_value());
    CHECK(mirror.Size() == 1);
  }
  SECTION("changes of another era do not apply") {
    mirror_page changes = Page(100, 510, {{"a", true, ""}});
    changes.from.era = changes.to.era = kEra + 1;
    CHECK_FALSE(mirror.Apply(changes).has_value());
  }
  SECTION("a difference leads from one era to the next") {
    object_mirror source = mirror;
    const std::uint64_t base = source.Digest();
    const auto changes = source.Apply(restored);
    REQUIRE(changes.has_value());
    CHECK(mirror.Apply(source.MakeDifference(base, *changes)).has_value());
    CHECK(mirror.Digest() == source.Digest());
    CHECK(mirror.At() == source.At());
  }
  SECTION("an equal copy moves to the next era") {
    CHECK(mirror.AdvanceTo({kKind, {kEra + 1, 20}, mirror.Digest()}));
    CHECK(mirror.At() == store_position(kEra + 1, 20));
    CHECK(mirror.AdvanceTo({kKind, {kEra, 900}, 0}));
    CHECK(mirror.At() == store_position(kEra + 1, 20));
  }
  SECTION("another copy does not") {
    CHECK_FALSE(mirror.AdvanceTo({kKind, {kEra + 1, 900}, 1}));
    CHECK(mirror.At() == store_position(kEra, 500));
  }
  SECTION("a copy of an earlier era gets all objects") {
    object_mirror source = mirror;
    source.Apply(restored);
    const auto page = source.PageSince(mirror.Position());
    REQUIRE(page.has_value());
    CHECK(page->content == page_content::kWhole);
    mirror.Apply(*page);
    CHECK(mirror.Digest() == source.Digest());
    CHECK_FALSE(mirror.PageSince({kKind, {kEra + 2, 1}, 0}).has_value());
  }
  SECTION("nothing is told of the changes before") {
    mirror.Apply(Page(500, 501, {{"c", true, ""}, {"a", false, "2"}}));
    mirror.Apply(restored);
    mirror_page changes = Page(20, 21, {{"d", false, "1"}});
    changes.from.era = changes.to.era = kEra + 1;
    mirror.Apply(changes);
    const auto page = mirror.PageSince({kKind, {kEra + 1, 20}, 0});
    REQUIRE(page.has_value());
    REQUIRE(page->objects.size() == 1);
    CHECK(page->objects[0].name == "d");
  }
}

TEST_CASE("a copy moves on where nothing has changed", "[mirror]") {
  object_mirror mirror = MirrorOf({{"a", false, "1"}}, 10);
  CHECK(mirror.AdvanceTo({kKind, {kEra, 15}, mirror.Digest()}));
  CHECK(mirror.At().revision == 15);
  CHECK(mirror.AdvanceTo({kKind, {kEra, 12}, 0}));  // It is ahead.
  CHECK(mirror.At().revision == 15);
  object_mirror empty(kKind);
  CHECK(empty.AdvanceTo({kKind, {kEra, 15}, 0}));
  CHECK_FALSE(empty.IsComplete());
  CHECK(empty.At().revision == 0);
}

TEST_CASE("a copy that is a little behind gets changes, others get all objects",
          "[mirror]") {
  object_mirror mirror = MirrorOf({{"a", false, "1"}}, 10);
  CHECK_FALSE(mirror.PageSince({kKind, {kEra, 10}, 0}).has_value());
  CHECK(mirror.PageSince({kKind, {kEra, 9}, 0})->content ==
        page_content::kWhole);
  mirror.Apply(Page(10, 11, {{"b", false, "1"}}));
  CHECK(mirror.AdvanceTo({kKind, {kEra, 15}, mirror.Digest()}));
  CHECK(mirror.At().revision == 15);
  mirror.Apply(Page(15, 16, {{"c", false, "1"}}));
  const auto since = mirror.PageSince({kKind, {kEra, 11}, 0});
  REQUIRE(since.has_value());
  CHECK(since->content == page_content::kChanges);
  CHECK(since->from.revision == 11);
  CHECK(since->to.revision == 16);
  CHECK(mirror.PageSince({kKind, {kEra, 15}, 0})->content ==
        page_content::kChanges);
  CHECK(mirror.PageSince({kKind, {kEra, 12}, 0})->content ==
        page_content::kWhole);
  for (int i = 0; i < 1000; ++i) {
    mirror.Apply(Page(16 + i, 17 + i, {{"c", false, std::to_string(i)}}));
  }
  const auto missed = mirror.PageSince({kKind, {kEra, 16}, 0});
  REQUIRE(missed.has_value());
  CHECK(missed->content == page_content::kChanges);
  REQUIRE(missed->objects.size() == 1);
  CHECK(missed->objects.at(0).document == "999");
  CHECK(mirror.PageSince({kKind, {kEra, 1010}, 0})->content ==
        page_content::kChanges);
  for (int i = 0; i < 1000; ++i) {
    const std::string name = "short-lived-" + std::to_string(i);
    mirror.Apply(Page(1016 + i, 1017 + i, {{name, true, ""}}));
  }
  CHECK(mirror.PageSince({kKind, {kEra, 16}, 0})->content ==
        page_content::kWhole);
  CHECK(mirror.PageSince({kKind, {kEra, 1016}, 0})->content ==
        page_content::kWhole);
  CHECK(mirror.PageSince({kKind, {kEra, 2010}, 0})->content ==
        page_content::kChanges);
}

// Guards against LOST: a process that is asked for what was missed answers with
// all states of an object, which takes it over its memory.
TEST_CASE("what a copy lacks is no larger than the whole copy", "[mirror]") {
  constexpr std::size_t kDocumentBytes = 10'000;
  constexpr int kChanges = 150;
  object_mirror mirror = MirrorOf(
      {{"a", false, "1"}, {"b", false, std::string(kDocumentBytes, 'b')}}, 10);
  for (int i = 0; i < kChanges; ++i) {
    const std::string document =
        std::string(kDocumentBytes, 'a') + std::to_string(i);
    mirror.Apply(Page(10 + 3 * i, 11 + 3 * i, {{"a", false, document}}));
    mirror.Apply(Page(11 + 3 * i, 12 + 3 * i, {{"c", false, document}}));
    mirror.Apply(Page(12 + 3 * i, 13 + 3 * i, {{"c", true, ""}}));
  }
  const std::size_t whole = mirror.Bytes();
  CHECK(whole < 3 * kDocumentBytes);
  for (std::int64_t from = 1; from < mirror.At().revision; ++from) {
    const auto page = mirror.PageSince({kKind, {kEra, from}, 0});
    REQUIRE(page.has_value());
    std::size_t bytes = 0;
    std::set<std::string> names;
    for (const mirrored_object& each : page->objects) {
      bytes += each.document.size();
      names.insert(each.name);
    }
    CHECK(bytes <= whole);
    CHECK(names.size() == page->objects.size());
  }
}

// Guards against an instance that keeps to an old state: a copy that moved on
// by a report does not know what has changed and changed back meanwhile, so it
// must not tell a copy from between that nothing has.
TEST_CASE("a copy that skipped changes sends all objects to one from between",
          "[mirror]") {
  object_mirror source = MirrorOf({{"a", false, "1"}}, 10);
  object_mirror between = MirrorOf({{"a", false, "1"}}, 10);
  source.Apply(Page(10, 11, {{"b", false, "1"}}));
  between.Apply(Page(10, 12, {{"b", false, "1"}, {"a", false, "2"}}));
  // The object is back at its former state since 14.
  REQUIRE(source.AdvanceTo({kKind, {kEra, 14}, source.Digest()}));
  REQUIRE(source.AdvanceTo({kKind, {kEra, 16}, source.Digest()}));
  source.Apply(Page(16, 17, {{"c", false, "1"}}));
  const auto page = source.PageSince(between.Position());
  REQUIRE(page.has_value());
  CHECK(page->content == page_content::kWhole);
  CHECK(between.Apply(*page).has_value());
  CHECK(between.Digest() == source.Digest());
  // Those from the ends of what was skipped have the same objects as it had.
  for (const std::int64_t end : {11, 16}) {
    const auto changes = source.PageSince({kKind, {kEra, end}, 0});
    REQUIRE(changes.has_value());
    CHECK(changes->content == page_content::kChanges);
    CHECK(changes->objects.size() == 1);
  }
}

TEST_CASE("a copy remembers few of the ranges that it skipped", "[mirror]") {
  constexpr std::int64_t kRanges = 1000;
  object_mirror mirror = MirrorOf({{"a", false, "1"}}, 10);
  for (std::int64_t i = 0; i < kRanges; ++i) {
    const std::int64_t at = 10 + 10 * i;
    mirror.Apply(Page(at, at + 1, {{"a", false, std::to_string(i)}}));
    mirror.AdvanceTo({kKind, {kEra, at + 10}, mirror.Digest()});
  }
  for (std::int64_t from = 1; from < mirror.At().revision; ++from) {
    const auto page = mirror.PageSince({kKind, {kEra, from}, 0});
    REQUIRE(page.has_value());
    const bool inside = from % 10 > 1;
    if (inside) CHECK(page->content == page_content::kWhole);
    CHECK(page->objects.size() <= 1);
  }
  CHECK(mirror.PageSince({kKind, {kEra, mirror.At().revision - 10}, 0})
            ->content == page_content::kChanges);
}

TEST_CASE("a difference applies only to a copy of the same objects",
          "[mirror]") {
  object_mirror source = MirrorOf({{"a", false, "1"}, {"b", false, "1"}}, 10);
  object_mirror same = MirrorOf({{"b", false, "1"}, {"a", false, "1"}}, 13);
  object_mirror other = MirrorOf({{"a", false, "2"}, {"b", false, "1"}}, 13);
  CHECK(source.Digest() == same.Digest());
  const std::uint64_t base = source.Digest();
  const auto changes =
      source.Apply(Page(0, 20, {{"a", false, "1"}, {"c", false, "1"}}, true));
  REQUIRE(changes.has_value());
  const mirror_page difference = source.MakeDifference(base, *changes);
  CHECK(difference.objects.size() == 2);
  CHECK(same.Apply(difference).has_value());
  CHECK(same.Digest() == source.Digest());
  CHECK(same.At().revision == 20);
  CHECK_FALSE(other.Apply(difference).has_value());
  // A copy of the same objects gets only the revision.
  const auto nothing = source.PageSince({kKind, {kEra, 15}, source.Digest()});
  REQUIRE(nothing.has_value());
  CHECK(nothing->objects.empty());
  CHECK(source.PageSince(other.Position())->content == page_content::kWhole);
}

// Copies of a store that is restored from an older state now and then must end
// with its latest one, whatever they have handed each other meanwhile.
TEST_CASE("copies that follow each other converge to the store", "[mirror]") {
  const bool restoring = GENERATE(false, true);
  for (std::uint32_t seed = 1; seed <= 300; ++seed) {
    std::mt19937 random(seed);
    std::int64_t era = kEra;
    std::map<std::string, std::string> saved;
    std::int64_t saved_revision = 100;
    std::map<std::string, std::string> store;
    std::vector<mirror_page> log;
    std::vector<object_mirror> copies(4, object_mirror(kKind));
    std::int64_t revision = 100;
    const auto whole = [&] {
      mirror_page page = Page(0, revision, {}, true);
      page.to.era = era;
      for (const auto& each : store) {
        page.objects.push_back({each.first, false, each.second});
      }
      return page;
    };
    const auto events = [&](const store_position& position) {
      // A copy of an earlier era has to list, as the store has no history of
      // it.
      if (position.era != era) return whole();
      const std::int64_t from = position.revision;
      mirror_page page = Page(from, revision, {});
      page.from.era = page.to.era = era;
      for (const mirror_page& each : log) {
        if (each.to.revision > from)
          page.objects.push_back(each.objects.front());
      }
      return page;
    };
    for (int step = 0; step < 200; ++step) {
      const std::string name(1, static_cast<char>('a' + random() % 5));
      object_mirror& copy = copies[random() % copies.size()];
      if (restoring && step % 40 == 10) {
        saved = store;
        saved_revision = revision;
      }
      if (restoring && step % 40 == 25) {
        store = saved;
        revision = saved_revision;
        log.clear();
        ++era;
      }
      switch (random() % 6) {
        case 0:
        case 1: {
          const bool gone = random() % 3 == 0;
          const std::string document = std::to_string(random() % 3);
          ++revision;
          if (gone) {
            store.erase(name);
          } else {
            store[name] = document;
          }
          log.push_back(Page(revision - 1, revision, {{name, gone, document}}));
          break;
        }
        case 2: {
          const std::uint64_t base = copy.Digest();
          const bool complete = copy.IsComplete();
          const auto changes = copy.Apply(whole());
          if (!complete || !changes.has_value()) break;
          const mirror_page difference = copy.MakeDifference(base, *changes);
          for (object_mirror& other : copies) other.Apply(difference);
          break;
        }
        case 3:
          if (copy.IsComplete()) copy.Apply(events(copy.At()));
          break;
        case 4: {
          const auto page =
              copies[random() % copies.size()].PageSince(copy.Position());
          if (page.has_value()) copy.Apply(*page);
          break;
        }
        case 5:
          copy.AdvanceTo(copies[random() % copies.size()].Position());
          break;
      }
    }
    for (object_mirror& each : copies) {
      if (each.IsComplete()) each.Apply(events(each.At()));
      if (!each.IsComplete()) each.Apply(whole());
      const auto all = each.PageSince({kKind, {era, 0}, 0});
      REQUIRE(all.has_value());
      std::map<std::string, std::string> held;
      object_mirror fresh(kKind);
      fresh.Apply(*all);
      INFO("seed " << seed);
      CHECK(fresh.Size() == store.size());
      for (const auto& object : all->objects) {
        held[object.name] = object.document;
      }
      CHECK(held == store);
    }
  }
}

}  // namespace papayaglade
