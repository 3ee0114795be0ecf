#include "app/entry_metrics.h"

#include "protocol/store_format.h"

namespace papayaglade {

namespace {

// `name` may end with labels.
template <typename number>
std::string Line(const std::string& name, number value) {
  return "papayaglade_" + name + " " + std::to_string(value) + "\n";
}

std::string Labelled(const std::string& name, const std::string& label,
                     const std::string& value) {
  return name + "{" + label + "=\"" + value + "\"}";
}

}  // namespace

std::string entry_metrics::Format() const {
  return parts_.requests.Format() + FormatUpstreams() + FormatRelays() +
         FormatStore() + FormatCopy();
}

std::string entry_metrics::FormatUpstreams() const {
  const auto& totals = parts_.upstreams.Totals();
  std::string text = Line("attempts_total", totals.sent) +
                     Line("attempts_to_leaving_total", totals.sent_to_leaving) +
                     Line("upstream_connects_total", totals.connected);
  for (const auto& each : totals.ends) {
    text +=
        Line(Labelled("attempt_ends_total", "end", AttemptEndName(each.first)),
             each.second);
  }
  const answer_memory& answers = parts_.upstreams.AnswerMemory();
  return text + Line("received_answer_bytes", answers.HeldBytes()) +
         Line("answers_given_up_total", answers.GivenUpCount()) +
         Line("upstream_leaving_notices_total", totals.leaving_notices) +
         Line("upstream_pauses_total", totals.pauses);
}

std::string entry_metrics::FormatRelays() const {
  const auto& totals = parts_.relays.Totals();
  return Line("relay_requests_total", totals.requests) +
         Line("relay_legs_total", totals.legs) +
         Line("relay_requests_lost_total", totals.lost) +
         Line("relay_requests_silent_total", totals.silent) +
         Line("relayed_legs_for_others_total",
              parts_.relays_for_others.LegCount());
}

std::string entry_metrics::FormatStore() const {
  std::string text = Line("store_calls_total", parts_.mirror.StoreCallCount());
  if (parts_.era.Known() != kNoEra)
    text += Line("store_era", parts_.era.Known());
  const mirror_followers& followers = parts_.mirror.Followers();
  return text + Line("store_restores_total", parts_.era.ChangeCount()) +
         Line("store_old_answers_total", parts_.era.OlderCount()) +
         Line("instance_entered_again_total", parts_.registry.ReentryCount()) +
         Line("unreadable_entries_total",
              parts_.applier.UnreadableCount() +
                  parts_.mirror.UnnamedEntryCount()) +
         Line("followers", followers.Size()) +
         Line("unsent_page_bytes", followers.UnsentPageBytes()) +
         Line("follower_pages_deferred_total", followers.DeferredPageCount());
}

std::string entry_metrics::FormatCopy() const {
  const bool unapplied = *parts_.applier.Unapplied().why != '\0';
  std::string text = Line("configuration_version", parts_.applier.Version()) +
                     Line("configuration_unapplied", unapplied ? 1 : 0);
  for (const stored_kind each : kMirroredKinds) {
    const copy_status copy = parts_.mirror.StatusOf(each);
    const std::string kind = StoredKindName(each);
    text += Line(Labelled("copy_revision", "kind", kind), copy.at.revision);
    if (!copy.confirmed_age.has_value()) continue;
    text += Line(Labelled("copy_age_ms", "kind", kind),
                 copy.confirmed_age->count());
  }
  return text + parts_.mirror.Unused().Format();
}

}  // namespace papayaglade
