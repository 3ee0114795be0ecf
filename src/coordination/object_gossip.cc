#include "coordination/object_gossip.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kAnnouncementFanout = 3;
constexpr std::size_t kMaxSources = 8;
constexpr milliseconds kReplyTimeout{1000};
constexpr milliseconds kBusyRetryDelay{100};
constexpr milliseconds kSummaryInterval{2000};
constexpr milliseconds kMinDigestInterval{400};
// Limits the rate of replies. Otherwise, an instance that all others ask for a
// large object at the same time would hold a copy for each of them in the
// buffers of its links.
constexpr double kReplyBytesPerSecond = 8.0 * 1024 * 1024;
constexpr double kReplyBytesBurst = 8.0 * 1024 * 1024;

}  // namespace

object_gossip::object_gossip(accept_function accept, std::uint64_t seed)
    : accept_(std::move(accept)),
      random_(seed),
      reply_byte_budget_(kReplyBytesPerSecond, kReplyBytesBurst) {}

bool object_gossip::Offer(const versioned_object& object, monotonic_time now) {
  return Accept(object, "", now);
}

void object_gossip::SetMembers(std::vector<std::string> members) {
  members_ = std::move(members);
  digest_sent_at_.clear();
}

void object_gossip::SetGateways(std::vector<std::string> gateways) {
  gateways_ = std::move(gateways);
}

void object_gossip::OnTick(monotonic_time now) {
  std::vector<object_key> unanswered;
  for (const auto& each : wanted_objects_) {
    if (now >= each.second.reply_deadline) unanswered.push_back(each.first);
  }
  for (const object_key& key : unanswered) RequestFromNextSource(key, now);
  if (next_summary_at_.has_value() && now < *next_summary_at_) return;
  next_summary_at_ = now + kSummaryInterval / 2 +
                     milliseconds(random_() % kSummaryInterval.count());
  for (const std::string& peer : gateways_) {
    Send(peer, version_summary{store_.Summary()});
  }
}

void object_gossip::OnMessage(const std::string& from,
                              const control_message& message,
                              monotonic_time now) {
  if (const auto* reply = std::get_if<probe_reply>(&message)) {
    Receive(from, *reply, now);
  } else if (const auto* summary = std::get_if<version_summary>(&message)) {
    Receive(from, *summary, now);
  } else if (const auto* digest = std::get_if<version_digest>(&message)) {
    Receive(from, *digest, now);
  } else if (const auto* request = std::get_if<object_request>(&message)) {
    Receive(from, *request, now);
  } else if (const auto* object = std::get_if<object_reply>(&message)) {
    Receive(from, *object, now);
  }
}

// Only the sender of the probe compares, as both ends would find the same
// difference.
void object_gossip::Receive(const std::string& from, const probe_reply& message,
                            monotonic_time now) {
  CompareSummary(from, message.versions_hash, now);
}

void object_gossip::Receive(const std::string& from,
                            const version_summary& message,
                            monotonic_time now) {
  CompareSummary(from, message.versions_hash, now);
}

void object_gossip::CompareSummary(const std::string& from,
                                   std::uint64_t versions_hash,
                                   monotonic_time now) {
  if (versions_hash == store_.Summary()) {
    last_confirmed_at_ = now;
    return;
  }
  const auto compared = digest_sent_at_.find(from);
  if (compared != digest_sent_at_.end() &&
      now - compared->second < kMinDigestInterval) {
    return;
  }
  digest_sent_at_[from] = now;
  Send(from, version_digest{true, store_.Versions()});
}

void object_gossip::Receive(const std::string& from,
                            const version_digest& message, monotonic_time now) {
  for (const version_entry& each : message.entries) {
    if (each.version > store_.VersionOf(each.key)) AddSource(from, each, now);
  }
  ReplyToDigest(from, message);
}

// Replies with only those versions that the sender lacks. The sender then
// requests these objects and sends no further digest, so two peers do not keep
// exchanging the same digests.
void object_gossip::ReplyToDigest(const std::string& from,
                                  const version_digest& digest) {
  std::map<object_key, std::uint64_t> their_versions;
  for (const version_entry& each : digest.entries) {
    their_versions[each.key] = each.version;
  }
  version_digest answer;
  for (const version_entry& own : store_.Versions()) {
    const auto their = their_versions.find(own.key);
    const bool lacking = their == their_versions.end()
                             ? digest.complete
                             : their->second < own.version;
    if (lacking) answer.entries.push_back(own);
  }
  if (!answer.entries.empty()) Send(from, std::move(answer));
}

void object_gossip::AddSource(const std::string& from,
                              const version_entry& entry, monotonic_time now) {
  const auto rejected = rejected_versions_.find(entry.key);
  if (rejected != rejected_versions_.end() && rejected->second >= entry.version)
    return;
  const auto [each, added] = wanted_objects_.try_emplace(entry.key);
  wanted_object& wanted = each->second;
  if (entry.version > wanted.version) {
    wanted.version = entry.version;
    wanted.sources.clear();
  }
  const bool known = wanted.requested_from == from ||
                     std::find(wanted.sources.begin(), wanted.sources.end(),
                               from) != wanted.sources.end();
  if (!known && wanted.sources.size() < kMaxSources) {
    wanted.sources.push_back(from);
  }
  if (added) RequestFromNextSource(entry.key, now);
}

void object_gossip::RequestFromNextSource(const object_key& key,
                                          monotonic_time now) {
  const auto found = wanted_objects_.find(key);
  if (found == wanted_objects_.end()) return;
  wanted_object& wanted = found->second;
  if (wanted.sources.empty()) {
    // A later announcement or digest will name peers that hold the object.
    wanted_objects_.erase(found);
    return;
  }
  wanted.requested_from = std::move(wanted.sources.front());
  wanted.sources.pop_front();
  wanted.reply_deadline = now + kReplyTimeout;
  Send(wanted.requested_from, object_request{key});
}

void object_gossip::Receive(const std::string& from,
                            const object_request& message, monotonic_time now) {
  const versioned_object* held = store_.Find(message.key);
  if (held == nullptr) return;
  const auto size = static_cast<double>(held->value.size());
  if (reply_byte_budget_.TrySpend(size, now)) {
    return Send(from, object_reply{false, *held});
  }
  Send(from, object_reply{true, {message.key, 0, ""}});
}

void object_gossip::Receive(const std::string& from,
                            const object_reply& message, monotonic_time now) {
  const object_key& key = message.object.key;
  const auto found = wanted_objects_.find(key);
  if (message.busy) {
    if (found == wanted_objects_.end() || found->second.requested_from != from)
      return;
    found->second.sources.push_back(from);
    found->second.reply_deadline =
        now + kBusyRetryDelay +
        milliseconds(random_() % kBusyRetryDelay.count());
    return;
  }
  Accept(message.object, from, now);
  const auto left = wanted_objects_.find(key);
  if (left == wanted_objects_.end()) return;
  if (left->second.version <= store_.VersionOf(key)) {
    wanted_objects_.erase(left);
  } else if (left->second.requested_from == from) {
    RequestFromNextSource(key, now);
  }
}

bool object_gossip::Accept(const versioned_object& object,
                           const std::string& source, monotonic_time now) {
  if (object.version <= store_.VersionOf(object.key)) return false;
  std::uint64_t& rejected = rejected_versions_[object.key];
  if (object.version <= rejected) return false;
  // The object is stored before it is announced, as a recipient of the
  // announcement may request it.
  if (!accept_(object)) {
    rejected = object.version;
    return false;
  }
  store_.Put(object);
  last_confirmed_at_ = now;
  const auto wanted = wanted_objects_.find(object.key);
  if (wanted != wanted_objects_.end() &&
      wanted->second.version <= object.version) {
    wanted_objects_.erase(wanted);
  }
  Announce(object, source);
  return true;
}

void object_gossip::Announce(const versioned_object& object,
                             const std::string& source) {
  const version_digest announcement{false, {{object.key, object.version}}};
  std::vector<std::string> recipients;
  std::sample(members_.begin(), members_.end(), std::back_inserter(recipients),
              kAnnouncementFanout, random_);
  recipients.insert(recipients.end(), gateways_.begin(), gateways_.end());
  for (const std::string& peer : recipients) {
    if (peer != source) Send(peer, announcement);
  }
}

void object_gossip::Send(const std::string& peer, control_message message) {
  actions_.emplace_back(send_to_peer{peer, std::move(message)});
}

std::vector<peer_action> object_gossip::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace papayaglade
