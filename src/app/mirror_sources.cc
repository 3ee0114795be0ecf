#include "app/mirror_sources.h"

#include <algorithm>
#include <chrono>

#include "protocol/mirror_codec.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// Subscribing again also repairs missed changes.
constexpr milliseconds kSubscribeInterval{2000};
// Shorter than the interval of reports, each of which may show anew that
// something is missed.
constexpr milliseconds kMinAskInterval{200};

}  // namespace

void mirror_sources::Dial(const fleet_member& member) {
  sources_[links_.Dial(member.control)].instance = member.name;
}

void mirror_sources::Close(const std::string& instance) {
  const auto found = std::find_if(
      sources_.begin(), sources_.end(),
      [&](const auto& each) { return each.second.instance == instance; });
  if (found == sources_.end()) return;
  links_.Close(found->first);
  sources_.erase(found);
}

std::string mirror_sources::Remove(instance_links::id link,
                                   const std::string& why) {
  std::string name = NameOf(link);
  if (name.empty()) return name;
  sources_.erase(link);
  log_.Write(structured_log::kind::kEvent,
             log_line("source_lost").With("instance", name).With("why", why));
  return name;
}

std::string mirror_sources::NameOf(instance_links::id link) const {
  const auto found = sources_.find(link);
  return found == sources_.end() ? "" : found->second.instance;
}

void mirror_sources::Subscribe(instance_links::id link,
                               const mirror_subscription& subscription) {
  const auto found = sources_.find(link);
  if (found == sources_.end()) return;
  found->second.asked = subscription;
  found->second.asked_at = loop_context::Now();
  links_.Send(link, EncodeMirrorMessage(subscription));
}

// A link that was held up delivers many reports at once, and each answer may be
// as large as the copy.
void mirror_sources::AskForMissed(instance_links::id link,
                                  const mirror_subscription& subscription) {
  const auto found = sources_.find(link);
  if (found == sources_.end()) return;
  const source& from = found->second;
  const bool is_asked = loop_context::Now() - from.asked_at < kMinAskInterval &&
                        from.asked.positions == subscription.positions;
  if (!is_asked) Subscribe(link, subscription);
}

void mirror_sources::SubscribeAgain(const mirror_subscription& subscription,
                                    monotonic_time now) {
  if (now - subscribed_at_ < kSubscribeInterval) return;
  subscribed_at_ = now;
  for (const auto& each : sources_) Subscribe(each.first, subscription);
}

}  // namespace papayaglade
