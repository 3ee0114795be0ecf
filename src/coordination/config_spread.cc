#include "coordination/config_spread.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kAnnouncements = 3;
constexpr std::size_t kMostSources = 8;
constexpr milliseconds kAnswerTimeout{1000};
constexpr milliseconds kBusyWait{100};
constexpr milliseconds kSummaryPeriod{2000};
constexpr milliseconds kCompareAgain{400};
// An instance that everyone asks for a large object at once must not hold a
// copy for each of them in its links' buffers.
constexpr double kBytesPerSecond = 8.0 * 1024 * 1024;
constexpr double kBytesBurst = 8.0 * 1024 * 1024;

}  // namespace

config_spread::config_spread(acceptor accept, std::uint64_t seed)
    : accept_(std::move(accept)),
      random_(seed),
      bytes_(kBytesPerSecond, kBytesBurst) {}

bool config_spread::Offer(const versioned_object& object, monotonic_time now) {
  return Accept(object, "", now);
}

void config_spread::SetMembers(std::vector<std::string> members) {
  members_ = std::move(members);
  compared_.clear();
}

void config_spread::SetGateways(std::vector<std::string> gateways) {
  gateways_ = std::move(gateways);
}

void config_spread::OnTick(monotonic_time now) {
  std::vector<object_key> unanswered;
  for (const auto& each : wanted_) {
    if (now >= each.second.give_up) unanswered.push_back(each.first);
  }
  for (const object_key& key : unanswered) AskNext(key, now);
  if (next_summary_.has_value() && now < *next_summary_) return;
  next_summary_ = now + kSummaryPeriod / 2 +
                  milliseconds(random_() % kSummaryPeriod.count());
  for (const std::string& peer : gateways_) {
    Send(peer, version_summary{store_.Summary()});
  }
}

void config_spread::OnMessage(const std::string& from,
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

// Only the prober compares, as both ends would find the same difference.
void config_spread::Receive(const std::string& from, const probe_reply& message,
                            monotonic_time now) {
  Compare(from, message.versions_hash, now);
}

void config_spread::Receive(const std::string& from,
                            const version_summary& message,
                            monotonic_time now) {
  Compare(from, message.versions_hash, now);
}

void config_spread::Compare(const std::string& from,
                            std::uint64_t versions_hash, monotonic_time now) {
  if (versions_hash == store_.Summary()) {
    confirmed_ = now;
    return;
  }
  const auto compared = compared_.find(from);
  if (compared != compared_.end() && now - compared->second < kCompareAgain) {
    return;
  }
  compared_[from] = now;
  Send(from, version_digest{true, store_.Versions()});
}

void config_spread::Receive(const std::string& from,
                            const version_digest& message, monotonic_time now) {
  for (const version_entry& each : message.entries) {
    if (each.version > store_.VersionOf(each.key)) Want(from, each, now);
  }
  AnswerDigest(from, message);
}

// Tells only what the sender lacks; it then asks for that, and no digest
// follows, so two peers never go on telling each other the same.
void config_spread::AnswerDigest(const std::string& from,
                                 const version_digest& digest) {
  std::map<object_key, std::uint64_t> theirs;
  for (const version_entry& each : digest.entries) {
    theirs[each.key] = each.version;
  }
  version_digest answer;
  for (const version_entry& own : store_.Versions()) {
    const auto their = theirs.find(own.key);
    const bool lacking =
        their == theirs.end() ? digest.complete : their->second < own.version;
    if (lacking) answer.entries.push_back(own);
  }
  if (!answer.entries.empty()) Send(from, std::move(answer));
}

void config_spread::Want(const std::string& from, const version_entry& entry,
                         monotonic_time now) {
  const auto refused = refused_.find(entry.key);
  if (refused != refused_.end() && refused->second >= entry.version) return;
  const auto [each, added] = wanted_.try_emplace(entry.key);
  wanted_object& wanted = each->second;
  if (entry.version > wanted.version) {
    wanted.version = entry.version;
    wanted.sources.clear();
  }
  const bool known = wanted.asked == from ||
                     std::find(wanted.sources.begin(), wanted.sources.end(),
                               from) != wanted.sources.end();
  if (!known && wanted.sources.size() < kMostSources) {
    wanted.sources.push_back(from);
  }
  if (added) AskNext(entry.key, now);
}

void config_spread::AskNext(const object_key& key, monotonic_time now) {
  const auto found = wanted_.find(key);
  if (found == wanted_.end()) return;
  wanted_object& wanted = found->second;
  if (wanted.sources.empty()) {
    // A later announcement or digest names peers that have it.
    wanted_.erase(found);
    return;
  }
  wanted.asked = std::move(wanted.sources.front());
  wanted.sources.pop_front();
  wanted.give_up = now + kAnswerTimeout;
  Send(wanted.asked, object_request{key});
}

void config_spread::Receive(const std::string& from,
                            const object_request& message, monotonic_time now) {
  const versioned_object* held = store_.Find(message.key);
  if (held == nullptr) return;
  const auto size = static_cast<double>(held->value.size());
  if (bytes_.TrySpend(size, now)) {
    return Send(from, object_reply{false, *held});
  }
  Send(from, object_reply{true, {message.key, 0, ""}});
}

void config_spread::Receive(const std::string& from,
                            const object_reply& message, monotonic_time now) {
  const object_key& key = message.object.key;
  const auto found = wanted_.find(key);
  if (message.busy) {
    if (found == wanted_.end() || found->second.asked != from) return;
    found->second.sources.push_back(from);
    found->second.give_up =
        now + kBusyWait + milliseconds(random_() % kBusyWait.count());
    return;
  }
  Accept(message.object, from, now);
  const auto left = wanted_.find(key);
  if (left == wanted_.end()) return;
  if (left->second.version <= store_.VersionOf(key)) {
    wanted_.erase(left);
  } else if (left->second.asked == from) {
    AskNext(key, now);
  }
}

bool config_spread::Accept(const versioned_object& object,
                           const std::string& source, monotonic_time now) {
  if (object.version <= store_.VersionOf(object.key)) return false;
  std::uint64_t& refused = refused_[object.key];
  if (object.version <= refused) return false;
  // The store goes first: whoever is told of the object may ask for it.
  if (!accept_(object)) {
    refused = object.version;
    return false;
  }
  store_.Put(object);
  confirmed_ = now;
  const auto wanted = wanted_.find(object.key);
  if (wanted != wanted_.end() && wanted->second.version <= object.version) {
    wanted_.erase(wanted);
  }
  Announce(object, source);
  return true;
}

void config_spread::Announce(const versioned_object& object,
                             const std::string& source) {
  const version_digest announcement{false, {{object.key, object.version}}};
  std::vector<std::string> told;
  std::sample(members_.begin(), members_.end(), std::back_inserter(told),
              kAnnouncements, random_);
  told.insert(told.end(), gateways_.begin(), gateways_.end());
  for (const std::string& peer : told) {
    if (peer != source) Send(peer, announcement);
  }
}

void config_spread::Send(const std::string& peer, control_message message) {
  actions_.emplace_back(send_to_peer{peer, std::move(message)});
}

std::vector<peer_action> config_spread::TakeActions() {
  return std::exchange(actions_, {});
}

}  // namespace papayaglade
