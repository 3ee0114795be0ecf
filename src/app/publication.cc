#include "app/publication.h"

#include <algorithm>
#include <random>
#include <sstream>
#include <utility>

#include "protocol/configuration_codec.h"
#include "state/configuration_diff.h"

namespace papayaglade {

namespace {

constexpr char kKind[] = "configuration";
constexpr char kName[] = "current";
constexpr int kMaxTries = 25;
constexpr std::chrono::milliseconds kRetryDelay{200};

// The stored configuration, with version 0 if none is stored.
struct stored_configuration {
  platform_status status = platform_status::kLost;
  configuration value;
};

stored_configuration ReadStored(blocking_platform& platform) {
  stored_configuration stored;
  for (int i = 0; i < kMaxTries; ++i) {
    const platform_reply reply = platform.Call(platform_get{kKind, kName});
    stored.status = reply.status;
    if (reply.status == platform_status::kNotFound) return stored;
    if (reply.status == platform_status::kOk) {
      auto parsed = ParseConfiguration(reply.objects.front().value);
      if (!parsed.has_value()) break;
      stored.value = *std::move(parsed);
      // Conditional updates compare the version of the object, not of its
      // value.
      stored.value.version = reply.objects.front().version;
      return stored;
    }
    platform.Pause(kRetryDelay);
  }
  stored.status = platform_status::kLost;
  return stored;
}

std::string NewPublicationId() {
  std::random_device entropy;
  std::ostringstream id;
  for (int i = 0; i < 4; ++i) id << std::hex << entropy() << '.';
  return id.str();
}

std::string MissingRemovals(const configuration& before,
                            const configuration& after,
                            const std::vector<std::string>& removals) {
  std::string missing;
  for (const service_change& each : DiffConfigurations(before, after)) {
    const bool removed = each.kind == service_change::change_kind::kRemoved;
    const bool named = std::find(removals.begin(), removals.end(),
                                 each.service) != removals.end();
    if (removed && !named) missing += " " + each.service;
  }
  return missing;
}

publication_refused Unavailable() {
  return {{error_kind::kUnavailable, "", "the platform does not answer",
           "nothing was changed; publish again when it answers"}};
}

}  // namespace

publication::publication(blocking_platform& platform) : platform_(platform) {}

publication_outcome publication::Run(configuration wanted,
                                     const std::vector<std::string>& removals,
                                     std::uint64_t fleet_version) {
  const stored_configuration stored = ReadStored(platform_);
  if (stored.status == platform_status::kLost) return Unavailable();
  base_ = stored.value;
  fleet_version_ = fleet_version;
  wanted_ = std::move(wanted);
  wanted_.version = base_.version + 1;
  wanted_.publication_id = NewPublicationId();
  const std::string missing = MissingRemovals(base_, wanted_, removals);
  if (!missing.empty()) {
    return publication_refused{
        {error_kind::kInvalidInput, "",
         "services in force are missing from the folders:" + missing,
         "give their folders too, or give --remove for each"}};
  }
  return Write();
}

publication_outcome publication::Write() {
  publication_outcome outcome = WriteVersion();
  while (std::holds_alternative<publication_accepted>(outcome) &&
         wanted_.version <= fleet_version_) {
    base_ = wanted_;
    ++wanted_.version;
    outcome = WriteVersion();
  }
  return outcome;
}

publication_outcome publication::WriteVersion() {
  // Repeating the write is safe: it names the version that it replaces, so at
  // most one attempt takes effect.
  bool sent = false;
  for (int i = 0; i < kMaxTries; ++i) {
    const platform_reply reply = platform_.Call(platform_put{
        kKind, kName, base_.version, FormatConfiguration(wanted_)});
    if (reply.status == platform_status::kOk) {
      return publication_accepted{wanted_.version};
    }
    if (reply.status == platform_status::kConflict) return DetermineOutcome();
    sent = sent || reply.status == platform_status::kLost;
    platform_.Pause(kRetryDelay);
  }
  if (sent) return DetermineOutcome();
  return Unavailable();
}

publication_outcome publication::DetermineOutcome() {
  const stored_configuration stored = ReadStored(platform_);
  if (stored.status != platform_status::kLost) {
    if (stored.value.publication_id == wanted_.publication_id) {
      return publication_accepted{stored.value.version};
    }
    // This version was written by another publication, so ours did not and
    // cannot take effect. A later version may be based on ours.
    if (stored.value.version == wanted_.version) return Conflict(stored.value);
  }
  return publication_refused{
      {error_kind::kOutcomeUnknown, "",
       "publication " + wanted_.publication_id +
           " may or may not have been in force as version " +
           std::to_string(wanted_.version),
       "compare the configuration in force with your files, then publish "
       "again"}};
}

publication_refused publication::Conflict(const configuration& theirs) const {
  return {{error_kind::kConflict, "",
           "another publication came first as version " +
               std::to_string(theirs.version) +
               "; theirs: " + FormatChanges(DiffConfigurations(base_, theirs)) +
               "; yours: " + FormatChanges(DiffConfigurations(base_, wanted_)),
           "your publication had no effect; merge their changes and publish "
           "again"}};
}

}  // namespace papayaglade
