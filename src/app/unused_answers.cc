#include "app/unused_answers.h"

#include <chrono>

#include "protocol/store_format.h"

namespace papayaglade {

namespace {

constexpr std::chrono::seconds kLogInterval{1};

}  // namespace

const char* UnusedReasonName(unused_reason why) {
  switch (why) {
    case unused_reason::kOlderEra:
      return "older_era";
    case unused_reason::kOtherEra:
      return "other_era";
    case unused_reason::kSuperseded:
      return "superseded";
    case unused_reason::kBehind:
      return "behind";
    case unused_reason::kGap:
      return "gap";
    case unused_reason::kUnreadable:
      return "unreadable";
    case unused_reason::kTooLarge:
      return "too_large";
  }
  return "unknown";
}

void unused_answers::Add(stored_kind kind, unused_reason why,
                         const store_position& copy,
                         const store_position& arrived) {
  const monotonic_time now = loop_context::Now();
  tally& own = tallies_[{kind, why}];
  ++own.total;
  if (own.logged > 0 && now - own.logged_at < kLogInterval) return;
  log_.Write(
      structured_log::kind::kEvent,
      log_line("state_unused")
          .With("kind", StoredKindName(kind))
          .With("why", UnusedReasonName(why))
          .With("count", static_cast<std::int64_t>(own.total - own.logged))
          .With("era", copy.era)
          .With("revision", copy.revision)
          .With("arrived_era", arrived.era)
          .With("arrived_revision", arrived.revision));
  own.logged = own.total;
  own.logged_at = now;
}

std::uint64_t unused_answers::Count(stored_kind kind, unused_reason why) const {
  const auto found = tallies_.find({kind, why});
  return found == tallies_.end() ? 0 : found->second.total;
}

std::string unused_answers::Format() const {
  std::string text;
  for (const auto& [key, own] : tallies_) {
    text += std::string("papayaglade_state_unused_total{kind=\"") +
            StoredKindName(key.first) + "\",why=\"" +
            UnusedReasonName(key.second) + "\"} " + std::to_string(own.total) +
            "\n";
  }
  return text;
}

}  // namespace papayaglade
