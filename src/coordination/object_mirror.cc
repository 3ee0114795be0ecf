#include "coordination/object_mirror.h"

#include <map>
#include <utility>

#include "coordination/rendezvous.h"

namespace papayaglade {

namespace {

// A copy that lacks more changes than this gets all objects.
constexpr std::size_t kMaxRecentObjects = 200;

}  // namespace

std::optional<std::vector<mirrored_object>> object_mirror::Apply(
    const mirror_page& page) {
  if (page.kind != kind_) return std::nullopt;
  if (complete_ && page.to <= revision_) return std::nullopt;
  if (!IsApplicable(page)) return std::nullopt;
  std::vector<mirrored_object> changes = ComputeChanges(page);
  for (const mirrored_object& each : changes) ApplyObject(each);
  RecordPage(page);
  complete_ = true;
  revision_ = page.to;
  return changes;
}

bool object_mirror::IsApplicable(const mirror_page& page) const {
  switch (page.content) {
    case page_content::kWhole:
      return true;
    case page_content::kChanges:
      return complete_ && page.from <= revision_;
    case page_content::kDifference:
      return complete_ && page.base == digest_;
  }
  return false;
}

// The digest is a sum, so it does not depend on the order of changes.
void object_mirror::ApplyObject(const mirrored_object& object) {
  const auto known = documents_.find(object.name);
  if (known != documents_.end()) {
    digest_ -= RendezvousWeight(known->first, known->second);
    documents_.erase(known);
  }
  if (object.deleted) return;
  documents_[object.name] = object.document;
  digest_ += RendezvousWeight(object.name, object.document);
}

// Pages from several sources overlap. Older states of an object within a page
// are skipped, because applying them again would undo newer ones for a moment.
std::vector<mirrored_object> object_mirror::ComputeChanges(
    const mirror_page& page) const {
  std::map<std::string, const mirrored_object*> last;
  for (const mirrored_object& each : page.objects) last[each.name] = &each;
  std::vector<mirrored_object> changes;
  for (const auto& each : last) {
    const auto known = documents_.find(each.first);
    const bool unchanged = each.second->deleted
                               ? known == documents_.end()
                               : known != documents_.end() &&
                                     known->second == each.second->document;
    if (!unchanged) changes.push_back(*each.second);
  }
  if (page.content != page_content::kWhole) return changes;
  for (const auto& each : documents_) {
    if (last.count(each.first) == 0) {
      changes.push_back({each.first, true, ""});
    }
  }
  return changes;
}

// Keeps the page unchanged: an object that is no change here may be one for a
// copy that is between the page's revisions. Only pages of changes can serve
// such a copy.
void object_mirror::RecordPage(const mirror_page& page) {
  if (page.content != page_content::kChanges) {
    recent_pages_.clear();
    recent_objects_ = 0;
    return;
  }
  if (page.objects.empty()) {
    if (!recent_pages_.empty()) recent_pages_.back().to = page.to;
    return;
  }
  recent_pages_.push_back(page);
  recent_pages_.back().from = revision_;
  recent_objects_ += page.objects.size();
  while (recent_objects_ > kMaxRecentObjects) {
    recent_objects_ -= recent_pages_.front().objects.size();
    recent_pages_.pop_front();
  }
}

// Without a look at the objects, changes that are still to come would be taken
// for old ones.
bool object_mirror::AdvanceTo(const mirror_position& position) {
  if (!complete_ || position.revision <= revision_) return true;
  if (position.digest != digest_) return false;
  mirror_page nothing;
  nothing.kind = kind_;
  nothing.from = revision_;
  nothing.to = position.revision;
  Apply(nothing);
  return true;
}

std::optional<mirror_page> object_mirror::PageSince(
    const mirror_position& position) const {
  if (!complete_ || position.revision >= revision_) return std::nullopt;
  const bool first = position.revision == 0;
  if (!first && position.digest == digest_) return MakeDifference(digest_, {});
  const std::int64_t from = position.revision;
  if (recent_pages_.empty() || from < recent_pages_.front().from)
    return MakeWholePage();
  mirror_page page;
  page.kind = kind_;
  page.from = from;
  page.to = revision_;
  for (const mirror_page& each : recent_pages_) {
    if (each.to <= from) continue;
    page.objects.insert(page.objects.end(), each.objects.begin(),
                        each.objects.end());
  }
  return page;
}

mirror_page object_mirror::MakeDifference(
    std::uint64_t base, std::vector<mirrored_object> changes) const {
  mirror_page page;
  page.kind = kind_;
  page.content = page_content::kDifference;
  page.to = revision_;
  page.base = base;
  page.objects = std::move(changes);
  return page;
}

mirror_position object_mirror::Position() const {
  return {kind_, revision_, digest_};
}

mirror_page object_mirror::MakeWholePage() const {
  mirror_page page;
  page.kind = kind_;
  page.content = page_content::kWhole;
  page.to = revision_;
  page.objects.reserve(documents_.size());
  for (const auto& each : documents_) {
    page.objects.push_back({each.first, false, each.second});
  }
  return page;
}

}  // namespace papayaglade
