#include "app/mirror_followers.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "protocol/mirror_codec.h"
#include "protocol/store_format.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kFollowerTimeout{7000};
// A link that has held more than this for longer is sent no page.
constexpr std::size_t kMaxQueuedBytes = 64UL * 1024;
constexpr milliseconds kMaxQueueTime{100};
// Pages may always take this much, however small the copy is.
constexpr std::size_t kMinPageRoomBytes = 4UL * 1024 * 1024;
// Links that have held a page for longer make room for the others.
constexpr milliseconds kMaxPageWait{1000};

const char* PageContentName(page_content content) {
  switch (content) {
    case page_content::kChanges:
      return "changes";
    case page_content::kWhole:
      return "whole";
    case page_content::kDifference:
      return "difference";
  }
  return "unknown";
}

// Nearly the size of the message, without encoding it.
std::size_t SizeOf(const mirror_page& page) {
  std::size_t bytes = 0;
  for (const mirrored_object& each : page.objects)
    bytes += each.name.size() + each.document.size();
  return bytes;
}

mirror_page HeaderOf(const mirror_page& page) {
  mirror_page header;
  header.kind = page.kind;
  header.content = page.content;
  header.from = page.from;
  header.to = page.to;
  header.base = page.base;
  header.confirmed_age = page.confirmed_age;
  return header;
}

// The objects follow from these, because all pages come from one copy.
bool HaveEqualHeaders(const mirror_page& a, const mirror_page& b) {
  return a.kind == b.kind && a.content == b.content && a.from == b.from &&
         a.to == b.to && a.base == b.base && a.confirmed_age == b.confirmed_age;
}

}  // namespace

bool mirror_followers::Add(instance_links::id link, const std::string& instance,
                           monotonic_time now) {
  const bool is_new = followers_.count(link) == 0;
  followers_[link] = {instance, now};
  if (is_new) {
    log_.Write(structured_log::kind::kEvent,
               log_line("follower_linked").With("instance", instance));
  }
  return is_new;
}

void mirror_followers::Remove(instance_links::id link, const std::string& why) {
  const auto known = followers_.find(link);
  if (known == followers_.end()) return;
  log_.Write(structured_log::kind::kEvent,
             log_line("follower_left")
                 .With("instance", known->second.instance)
                 .With("why", why));
  followers_.erase(known);
}

void mirror_followers::RemoveExpired(monotonic_time now) {
  std::vector<instance_links::id> expired;
  for (const auto& each : followers_) {
    if (now - each.second.last_subscription > kFollowerTimeout)
      expired.push_back(each.first);
  }
  for (const instance_links::id each : expired) {
    links_.Close(each);
    Remove(each, "silent");
  }
}

void mirror_followers::CloseAll() {
  for (const auto& each : followers_) links_.Close(each.first);
  followers_.clear();
}

void mirror_followers::Send(const mirror_page& page, std::size_t copy_bytes) {
  if (followers_.empty()) return;
  const link_frame_pointer frame = FrameOf(page, copy_bytes);
  for (const auto& each : followers_) SendFrame(each.first, frame);
}

void mirror_followers::SendMissed(instance_links::id link,
                                  const mirror_page& page,
                                  std::size_t copy_bytes) {
  const bool sent = SendFrame(link, FrameOf(page, copy_bytes));
  const auto known = followers_.find(link);
  if (!sent || page.objects.empty() || known == followers_.end()) return;
  log_.Write(
      structured_log::kind::kEvent,
      log_line("follower_page")
          .With("instance", known->second.instance)
          .With("kind", StoredKindName(page.kind))
          .With("content", PageContentName(page.content))
          .With("objects", static_cast<std::int64_t>(page.objects.size()))
          .With("bytes", static_cast<std::int64_t>(SizeOf(page))));
}

void mirror_followers::Send(const source_report& report) {
  if (followers_.empty()) return;
  const link_frame_pointer frame =
      MakeLinkFrame(EncodeMirrorMessage(report), link_end::kAccepting);
  for (const auto& each : followers_) links_.Send(each.first, frame);
}

link_frame_pointer mirror_followers::FrameOf(const mirror_page& page,
                                             std::size_t copy_bytes) {
  link_frame_pointer frame = FindFrame(page);
  if (frame != nullptr) return frame;
  if (!MakeRoom(SizeOf(page), copy_bytes)) return nullptr;
  frame = MakeLinkFrame(EncodeMirrorPage(page), link_end::kAccepting);
  pages_.push_back({HeaderOf(page), frame});
  unsent_pages_.Add(frame, loop_context::Now());
  return frame;
}

link_frame_pointer mirror_followers::FindFrame(const mirror_page& page) {
  pages_.erase(std::remove_if(pages_.begin(), pages_.end(),
                              [](const encoded_page& each) {
                                return each.frame.expired();
                              }),
               pages_.end());
  const auto found = std::find_if(
      pages_.begin(), pages_.end(),
      [&](const auto& each) { return HaveEqualHeaders(each.header, page); });
  return found == pages_.end() ? nullptr : found->frame.lock();
}

// A page that is larger than the room is sent when no other is held.
bool mirror_followers::MakeRoom(std::size_t bytes, std::size_t copy_bytes) {
  const std::size_t room = std::max(kMinPageRoomBytes, 2 * copy_bytes);
  const std::size_t held = unsent_pages_.Bytes();
  if (held == 0 || held + bytes <= room) return true;
  const monotonic_time now = loop_context::Now();
  bool aborted = false;
  for (const auto& each : followers_) {
    const auto since = links_.UnsentSince(each.first);
    if (!since.has_value() || now - *since <= kMaxPageWait) continue;
    links_.Abort(each.first, "it does not read what it is sent");
    aborted = true;
  }
  return aborted;
}

bool mirror_followers::SendFrame(instance_links::id link,
                                 const link_frame_pointer& frame) {
  if (frame == nullptr || IsBehind(link)) {
    ++deferred_pages_;
    return false;
  }
  links_.Send(link, frame);
  return true;
}

bool mirror_followers::IsBehind(instance_links::id link) const {
  const auto since = links_.UnsentSince(link);
  return since.has_value() && loop_context::Now() - *since > kMaxQueueTime &&
         links_.UnsentBytes(link) > kMaxQueuedBytes;
}

}  // namespace papayaglade
