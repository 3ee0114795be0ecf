#include "coordination/object_mirror.h"

#include <map>

namespace papayaglade {

namespace {

// Who is further behind gets all objects.
constexpr std::size_t kMostRecentObjects = 200;

}  // namespace

std::optional<std::vector<mirrored_object>> object_mirror::Apply(
    const mirror_page& page) {
  if (page.kind != kind_) return std::nullopt;
  if (complete_ && page.to <= revision_) return std::nullopt;
  const bool gap = !complete_ || page.from > revision_;
  if (!page.whole && gap) return std::nullopt;
  std::vector<mirrored_object> changes = Changes(page);
  for (const mirrored_object& each : changes) {
    if (each.deleted) {
      documents_.erase(each.name);
    } else {
      documents_[each.name] = each.document;
    }
  }
  Keep(page);
  complete_ = true;
  revision_ = page.to;
  return changes;
}

// Pages of several origins overlap. An object's older states within a page are
// left out: applied again, they would undo newer ones for a moment.
std::vector<mirrored_object> object_mirror::Changes(
    const mirror_page& page) const {
  std::map<std::string, const mirrored_object*> last;
  for (const mirrored_object& each : page.objects) last[each.name] = &each;
  std::vector<mirrored_object> changes;
  for (const auto& each : last) {
    const auto known = documents_.find(each.first);
    const bool same = each.second->deleted
                          ? known == documents_.end()
                          : known != documents_.end() &&
                                known->second == each.second->document;
    if (!same) changes.push_back(*each.second);
  }
  if (!page.whole) return changes;
  for (const auto& each : documents_) {
    if (last.count(each.first) == 0) {
      changes.push_back({each.first, true, ""});
    }
  }
  return changes;
}

// As it came: what is no change here may be one to a copy that is between the
// page's revisions.
void object_mirror::Keep(const mirror_page& page) {
  if (page.whole) {
    recent_.clear();
    recent_objects_ = 0;
    return;
  }
  if (page.objects.empty()) {
    if (!recent_.empty()) recent_.back().to = page.to;
    return;
  }
  recent_.push_back(page);
  recent_.back().from = revision_;
  recent_objects_ += page.objects.size();
  while (recent_objects_ > kMostRecentObjects) {
    recent_objects_ -= recent_.front().objects.size();
    recent_.pop_front();
  }
}

void object_mirror::Advance(std::int64_t revision) {
  mirror_page nothing;
  nothing.kind = kind_;
  nothing.from = revision_;
  nothing.to = revision;
  Apply(nothing);
}

std::optional<mirror_page> object_mirror::Since(std::int64_t revision) const {
  if (!complete_ || revision >= revision_) return std::nullopt;
  if (recent_.empty() || revision < recent_.front().from) return Whole();
  mirror_page page;
  page.kind = kind_;
  page.from = revision;
  page.to = revision_;
  for (const mirror_page& each : recent_) {
    if (each.to <= revision) continue;
    page.objects.insert(page.objects.end(), each.objects.begin(),
                        each.objects.end());
  }
  return page;
}

mirror_page object_mirror::Whole() const {
  mirror_page page;
  page.kind = kind_;
  page.whole = true;
  page.to = revision_;
  page.objects.reserve(documents_.size());
  for (const auto& each : documents_) {
    page.objects.push_back({each.first, false, each.second});
  }
  return page;
}

}  // namespace papayaglade
