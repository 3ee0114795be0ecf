#include "coordination/object_mirror.h"

#include <algorithm>
#include <map>
#include <utility>

#include "coordination/rendezvous.h"

namespace papayaglade {

namespace {

// A copy that lacks more deletions than this gets all objects.
constexpr std::size_t kMaxDeletions = 200;
constexpr std::size_t kMaxSkippedRanges = 32;

}  // namespace

std::optional<std::vector<mirrored_object>> object_mirror::Apply(
    const mirror_page& page) {
  if (page.kind != kind_) return std::nullopt;
  if (complete_ && page.to <= at_) return std::nullopt;
  if (!IsApplicable(page)) return std::nullopt;
  return TakeOver(page);
}

// A later call of the store tells of all that an earlier one did, so a copy is
// only contradicted by an answer that is late, or by a store that has gone back
// and names no new era. Asked again, only the latter says so again.
std::optional<std::vector<mirrored_object>> object_mirror::ApplyFromStore(
    const mirror_page& page) {
  const page_relation relation = RelationOf(page);
  const bool whole = page.content == page_content::kWhole;
  const bool contradicts = relation == page_relation::kUnconnected && whole;
  const bool again = contradicts && doubted_at_ == at_;
  doubted_at_.reset();
  if (again) return TakeOver(page);
  if (contradicts) doubted_at_ = at_;
  return Apply(page);
}

page_relation object_mirror::RelationOf(const mirror_page& page) const {
  if (!complete_ || page.to > at_)
    return IsApplicable(page) ? page_relation::kNewer
                              : page_relation::kUnconnected;
  const bool whole = page.content == page_content::kWhole;
  const bool overtaken = page.to < at_ && !whole;
  if (overtaken && page.from < at_) return page_relation::kOvertaken;
  const bool held = !overtaken && ComputeChanges(page).empty();
  return held ? page_relation::kHeld : page_relation::kUnconnected;
}

std::vector<mirrored_object> object_mirror::TakeOver(const mirror_page& page) {
  std::vector<mirrored_object> changes = ComputeChanges(page);
  MoveTo(page.to);
  for (const mirrored_object& each : changes)
    ApplyObject(each, page.to.revision);
  RecordPage(page);
  complete_ = true;
  return changes;
}

bool object_mirror::IsApplicable(const mirror_page& page) const {
  switch (page.content) {
    case page_content::kWhole:
      return true;
    case page_content::kChanges:
      return complete_ && page.to.era == at_.era && page.from <= at_;
    case page_content::kDifference:
      return complete_ && page.base == digest_;
  }
  return false;
}

// The digest is a sum, so it does not depend on the order of changes.
void object_mirror::ApplyObject(const mirrored_object& object,
                                std::int64_t revision) {
  const auto known = objects_.find(object.name);
  if (known != objects_.end()) {
    const std::string& document = known->second.document;
    digest_ -= RendezvousWeight(known->first, document);
    bytes_ -= known->first.size() + document.size();
    objects_.erase(known);
  }
  if (object.deleted) return;
  objects_[object.name] = {object.document, revision};
  digest_ += RendezvousWeight(object.name, object.document);
  bytes_ += object.name.size() + object.document.size();
}

// Pages from several sources overlap. Older states of an object within a page
// are skipped, because applying them again would undo newer ones for a moment.
std::vector<mirrored_object> object_mirror::ComputeChanges(
    const mirror_page& page) const {
  std::map<std::string, const mirrored_object*> last;
  for (const mirrored_object& each : page.objects) last[each.name] = &each;
  std::vector<mirrored_object> changes;
  for (const auto& each : last) {
    const auto known = objects_.find(each.first);
    const bool unchanged = each.second->deleted ? known == objects_.end()
                                                : known != objects_.end() &&
                                                      known->second.document ==
                                                          each.second->document;
    if (!unchanged) changes.push_back(*each.second);
  }
  if (page.content != page_content::kWhole) return changes;
  for (const auto& each : objects_) {
    if (last.count(each.first) == 0) {
      changes.push_back({each.first, true, ""});
    }
  }
  return changes;
}

// Includes the objects that are no change here, because they may be one for a
// copy that is between the page's revisions. Only pages of changes tell of all
// changes, so after other pages such a copy gets all objects.
void object_mirror::RecordPage(const mirror_page& page) {
  const std::int64_t revision = page.to.revision;
  if (page.content != page_content::kChanges)
    return ForgetChangesBefore(revision);
  for (const mirrored_object& each : page.objects) {
    const auto known = objects_.find(each.name);
    if (known != objects_.end()) known->second.changed_at = revision;
    if (each.deleted) RecordDeletion(each.name, revision);
  }
  if (deletions_.size() <= kMaxDeletions) return;
  const std::size_t excess = deletions_.size() - kMaxDeletions;
  ForgetChangesBefore(deletions_[excess - 1].revision);
}

void object_mirror::RecordDeletion(const std::string& name,
                                   std::int64_t revision) {
  const auto earlier =
      std::find_if(deletions_.begin(), deletions_.end(),
                   [&](const deletion& each) { return each.name == name; });
  if (earlier != deletions_.end()) deletions_.erase(earlier);
  deletions_.push_back({name, revision});
}

void object_mirror::ForgetChangesBefore(std::int64_t revision) {
  changes_known_from_ = revision;
  while (!deletions_.empty() && deletions_.front().revision <= revision)
    deletions_.pop_front();
  while (!skipped_.empty() && skipped_.front().to <= revision)
    skipped_.pop_front();
}

// What is noted of changes are revisions of the era before, or of a history
// that the store has taken back.
void object_mirror::MoveTo(const store_position& position) {
  const bool continues = position.era == at_.era && position >= at_;
  at_ = position;
  if (continues) return;
  for (auto& each : objects_) each.second.changed_at = 0;
  deletions_.clear();
  skipped_.clear();
  changes_known_from_ = position.revision;
}

// Nothing changed between two ranges that meet, so they are one.
void object_mirror::RecordSkipped(const store_position& from) {
  if (from.era != at_.era) return;
  if (!skipped_.empty() && skipped_.back().to == from.revision) {
    skipped_.back().to = at_.revision;
  } else {
    skipped_.push_back({from.revision, at_.revision});
  }
  if (skipped_.size() > kMaxSkippedRanges)
    ForgetChangesBefore(skipped_.front().to);
}

// An object may have changed and changed back within a range that was skipped.
bool object_mirror::KnowsChangesSince(const store_position& position) const {
  const std::int64_t revision = position.revision;
  if (position.era != at_.era || revision < changes_known_from_) return false;
  return std::none_of(skipped_.begin(), skipped_.end(),
                      [revision](const skipped_range& each) {
                        return each.from < revision && revision < each.to;
                      });
}

bool object_mirror::Contradicts(const mirror_position& position) const {
  return complete_ && position.at == at_ && position.digest != digest_;
}

// Without a look at the objects, changes that are still to come would be taken
// for old ones.
bool object_mirror::AdvanceTo(const mirror_position& position) {
  if (!complete_ || position.at <= at_) return true;
  if (position.digest != digest_) return false;
  const store_position from = at_;
  MoveTo(position.at);
  RecordSkipped(from);
  return true;
}

std::optional<mirror_page> object_mirror::PageSince(
    const mirror_position& position) const {
  if (!complete_ || position.at >= at_) return std::nullopt;
  const bool first = position.at.revision == 0;
  if (!first && position.digest == digest_) return MakeDifference(digest_, {});
  if (!KnowsChangesSince(position.at)) return MakeWholePage();
  const std::int64_t from = position.at.revision;
  mirror_page page;
  page.kind = kind_;
  page.from = position.at;
  page.to = at_;
  for (const deletion& each : deletions_) {
    if (each.revision > from && objects_.count(each.name) == 0)
      page.objects.push_back({each.name, true, ""});
  }
  for (const auto& each : objects_) {
    if (each.second.changed_at > from)
      page.objects.push_back({each.first, false, each.second.document});
  }
  return page;
}

mirror_page object_mirror::MakeDifference(
    std::uint64_t base, std::vector<mirrored_object> changes) const {
  mirror_page page;
  page.kind = kind_;
  page.content = page_content::kDifference;
  page.to = at_;
  page.base = base;
  page.objects = std::move(changes);
  return page;
}

mirror_position object_mirror::Position() const {
  return {kind_, at_, digest_};
}

mirror_page object_mirror::MakeWholePage() const {
  mirror_page page;
  page.kind = kind_;
  page.content = page_content::kWhole;
  page.to = at_;
  page.objects.reserve(objects_.size());
  for (const auto& each : objects_) {
    page.objects.push_back({each.first, false, each.second.document});
  }
  return page;
}

}  // namespace papayaglade
