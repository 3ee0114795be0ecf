#include "app/store_mirror.h"

#include <algorithm>
#include <utility>

#include "app/mirror_log_lines.h"
#include "coordination/watch_wait.h"
#include "protocol/entry_settings_codec.h"
#include "protocol/mirror_codec.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// While the store does not answer, only the feed of this kind calls it.
constexpr std::size_t kLivenessKind = 2;
static_assert(kMirroredKinds[kLivenessKind] == stored_kind::kClosedDataCentres);
constexpr std::size_t kUpstreamsKind = 1;
static_assert(kMirroredKinds[kUpstreamsKind] == stored_kind::kUpstreams);
constexpr milliseconds kReportInterval{400};
// Interval until all kinds of objects have been received once.
constexpr milliseconds kStartupInterval{100};
// Other instances are asked if the store has not answered completely within
// this time after the start of the watches.
constexpr milliseconds kFirstAnswerTimeout{700};

std::size_t IndexOf(stored_kind kind) {
  const auto found =
      std::find(kMirroredKinds.begin(), kMirroredKinds.end(), kind);
  return static_cast<std::size_t>(found - kMirroredKinds.begin());
}

}  // namespace

store_mirror::store_mirror(loop_context& loop, const store_format& format,
                           structured_log& log, store_era& era,
                           instance_links& links,
                           const entry_settings& settings, bool sharing,
                           handlers handlers)
    : loop_(loop),
      log_(log),
      era_(era),
      name_(settings.name),
      control_(settings.control),
      seeds_(settings.seeds),
      handlers_(std::move(handlers)),
      links_(links),
      selector_({settings.name, settings.data_centre, settings.control,
                 settings.cores},
                sharing),
      unused_(log),
      kinds_{{MakeKind(0, format, settings, sharing),
              MakeKind(1, format, settings, sharing),
              MakeKind(2, format, settings, sharing)}},
      confirmations_(log, settings.delays),
      sources_(log, links),
      followers_(log, links) {
  for (std::size_t i = 0; i < kinds_.size(); ++i) {
    if (i != kLivenessKind) kinds_[i].feed.SetResumeRequired();
  }
  era_.Subscribe(
      [this](std::int64_t before, std::int64_t now) { OnNewEra(before, now); });
  links_.AddHandlers(
      {[this](auto link) { OnOpen(link); },
       [this](auto link, const std::string& bytes) {
         return OnMessage(link, bytes);
       },
       [this](auto link, const std::string& why) { OnClosed(link, why); }});
}

store_mirror::mirrored_kind store_mirror::MakeKind(
    std::size_t kind, const store_format& format,
    const entry_settings& settings, bool sharing) {
  const stored_kind stored = kMirroredKinds[kind];
  return {
      object_mirror(stored),
      store_feed(loop_, format, log_, era_, settings.store, stored,
                 WatchWait(stored, settings.delays, sharing), HandlersOf(kind)),
      ""};
}

store_feed::handlers store_mirror::HandlersOf(std::size_t kind) {
  store_feed::handlers result;
  result.on_list = [this, kind](const store_page& page,
                                const store_feed::answer_time& time) {
    return OnStorePage(kind, page_content::kWhole, {}, page, time);
  };
  result.on_events = [this, kind](const store_position& from,
                                  const store_page& page,
                                  const store_feed::answer_time& time) {
    return OnStorePage(kind, page_content::kChanges, from, page, time);
  };
  result.on_unavailable = [this] { OnStoreUnavailable(); };
  result.on_lost = [this](bool first) { OnStoreLost(first); };
  result.on_unused = [this, kind](unused_reason why,
                                  const store_position& arrived) {
    unused_.Add(kMirroredKinds[kind], why, kinds_[kind].objects.At(), arrived);
  };
  result.on_answer = [this, kind](store_feed::answer_kind answer) {
    if (answer == store_feed::answer_kind::kCurrent)
      last_answer_ = loop_context::Now();
    if (kind == kLivenessKind) ResumeFeeds();
  };
  return result;
}

std::string store_mirror::Start() {
  std::string failed = links_.Listen(control_);
  if (!failed.empty()) return failed;
  const monotonic_time now = loop_context::Now();
  std::vector<fleet_member> seeds;
  for (const std::string& each : seeds_) {
    const auto address = ParseEndpoint(each);
    if (address.has_value() && *address != control_) {
      seeds.push_back({each, "", *address, 0});
    }
  }
  selector_.SetSeeds(seeds);
  selector_.Start(now);
  UpdateSources(now);
  ScheduleTick();
  return "";
}

void store_mirror::StopServing() {
  serving_ = false;
  links_.StopAccepting();
  followers_.CloseAll();
}

void store_mirror::SetMembers(const std::vector<fleet_member>& members) {
  members_ = members;
  selector_.SetMembers(members);
  UpdateSources(loop_context::Now());
}

bool store_mirror::Complete() const {
  return std::all_of(
      kinds_.begin(), kinds_.end(),
      [](const mirrored_kind& each) { return each.objects.IsComplete(); });
}

std::uint64_t store_mirror::StoreCallCount() const {
  std::uint64_t calls = 0;
  for (const mirrored_kind& each : kinds_) calls += each.feed.CallCount();
  return calls;
}

std::uint64_t store_mirror::UnnamedEntryCount() const {
  std::uint64_t entries = 0;
  for (const mirrored_kind& each : kinds_) entries += each.feed.UnnamedCount();
  return entries;
}

bool store_mirror::OnStorePage(std::size_t kind, page_content content,
                               const store_position& from,
                               const store_page& page,
                               const store_feed::answer_time& time) {
  mirror_page mirrored =
      ToMirrorPage(kMirroredKinds[kind], content, from, page);
  const page_relation relation = kinds_[kind].objects.RelationOf(mirrored);
  const bool connected =
      relation == page_relation::kNewer || relation == page_relation::kHeld;
  if (time.was_held && connected) Confirm(kind, time.confirmed_at);
  mirrored.confirmed_age = ConfirmedAge(kind);
  const bool applied = ApplyPage(kind, std::move(mirrored), "");
  if (applied || connected) Confirm(kind, time.confirmed_at);
  return applied || relation != page_relation::kUnconnected;
}

// What is read after the process was held up may have waited all that time.
void store_mirror::Confirm(std::size_t kind, monotonic_time time) {
  if (handlers_.earliest_time) time = std::min(time, handlers_.earliest_time());
  if (!confirmations_.Confirm(kMirroredKinds[kind], time)) return;
  if (kind != kUpstreamsKind) return;
  store_unavailable_ = false;
  if (handlers_.on_upstreams_confirmed) handlers_.on_upstreams_confirmed(time);
}

std::optional<milliseconds> store_mirror::ConfirmedAge(std::size_t kind) const {
  if (kind != kUpstreamsKind) return std::nullopt;
  return confirmations_.Age(kMirroredKinds[kind]);
}

void store_mirror::CheckConfirmations() {
  const bool answering = IsStoreAnswering(loop_context::Now());
  for (const stored_kind each : kMirroredKinds)
    confirmations_.Check(each, StatusOf(each), answering);
}

copy_status store_mirror::StatusOf(stored_kind kind) const {
  const mirrored_kind& own = kinds_.at(IndexOf(kind));
  return {own.objects.At(), confirmations_.Age(kind), own.source};
}

// A page up to the position of the copy has brought nothing new.
void store_mirror::NoteUnused(std::size_t kind, const mirror_page& page) {
  const store_position& copy = kinds_[kind].objects.At();
  if (page.to == copy) return;
  unused_.Add(kMirroredKinds[kind],
              page.to < copy ? unused_reason::kBehind : unused_reason::kGap,
              copy, page.to);
}

void store_mirror::OnStoreUnavailable() {
  store_unavailable_ = true;
  if (handlers_.on_store_unavailable)
    handlers_.on_store_unavailable(loop_context::Now());
}

bool store_mirror::ApplyPage(std::size_t kind, mirror_page page,
                             const std::string& source) {
  mirrored_kind& own = kinds_[kind];
  const bool complete = own.objects.IsComplete();
  const mirror_position before = own.objects.Position();
  const auto changes = source.empty() ? own.objects.ApplyFromStore(page)
                                      : own.objects.Apply(page);
  if (!changes.has_value()) {
    // Pages of several instances overlap.
    if (source.empty() || own.objects.At() < page.to) NoteUnused(kind, page);
    return false;
  }
  own.source = source;
  if (complete && before.at.era != page.to.era) {
    log_.Write(structured_log::kind::kEvent,
               EraReadLine(page.kind, before.at, page.to, *changes,
                           std::chrono::duration_cast<milliseconds>(
                               loop_context::Now() - era_start_)));
  }
  if (page.to < before.at)
    log_.Write(structured_log::kind::kEvent,
               WentBackLine(page.kind, before.at, page.to, *changes));
  if (complete && page.confirmed_age.has_value())
    Confirm(kind, loop_context::Now() - *page.confirmed_age);
  page.confirmed_age = ConfirmedAge(kind);
  own.feed.SkipTo(page.to);
  if (complete && page.content == page_content::kWhole) {
    // Most followers have the same state as this copy had, and the list may be
    // long, so only the difference is sent.
    mirror_page difference =
        own.objects.MakeDifference(before.digest, *changes);
    difference.confirmed_age = page.confirmed_age;
    followers_.Send(difference, CopyBytes());
  } else if (!complete || !page.objects.empty()) {
    followers_.Send(page, CopyBytes());
  }
  if (!changes->empty())
    handlers_.on_changes(kMirroredKinds[kind], ToStoredObjects(*changes));
  if (!complete) UpdateSources(loop_context::Now());
  return true;
}

// Entries of upstreams that go on serving may be missing in the copy from which
// the store was restored, as after an outage.
void store_mirror::OnNewEra(std::int64_t before, std::int64_t era) {
  era_start_ = loop_context::Now();
  if (before != kNoEra) {
    log_.Write(
        structured_log::kind::kEvent,
        log_line("store_restored").With("era", era).With("before", before));
    OnStoreUnavailable();
  }
  for (mirrored_kind& each : kinds_) each.feed.StartEra();
}

// The word of another instance is no proof of an era, but a reason to ask the
// store.
void store_mirror::OnReportedEra(std::int64_t era) {
  if (era <= era_.Known() || era <= reported_era_) return;
  reported_era_ = era;
  kinds_[kLivenessKind].feed.ListAgain();
}

// Instances of earlier versions name no era. Theirs is taken for that of the
// copy, as they would do themselves.
std::optional<store_position> store_mirror::CurrentPosition(
    std::size_t kind, const store_position& position) const {
  if (position.era == kNoEra)
    return store_position(kinds_[kind].objects.At().era, position.revision);
  if (position.era < era_.Known()) return std::nullopt;
  return position;
}

void store_mirror::Send(instance_links::id link,
                        const mirror_message& message) {
  links_.Send(link, EncodeMirrorMessage(message));
}

void store_mirror::OnStoreLost(bool first) {
  if (first) {
    for (mirrored_kind& each : kinds_) each.feed.FailPendingWatch();
  }
  // This feed is answered or between two calls, so it does not come to try
  // again for the others soon.
  if (!kinds_[kLivenessKind].feed.Lost()) ResumeFeeds();
  UpdateSources(loop_context::Now());
}

void store_mirror::ResumeFeeds() {
  for (mirrored_kind& each : kinds_) each.feed.Resume();
}

void store_mirror::ScheduleTick() {
  loop_.ScheduleAfter(Complete() ? kReportInterval : kStartupInterval,
                      [this](monotonic_time now) {
                        Tick(now);
                        ScheduleTick();
                      });
}

void store_mirror::Tick(monotonic_time now) {
  followers_.RemoveExpired(now);
  sources_.SubscribeAgain(MakeSubscription(), now);
  UpdateSources(now);
  ReportState();
  CheckConfirmations();
}

void store_mirror::UpdateSources(monotonic_time now) {
  selector_.SetStoreReachable(IsStoreAnswering(now), now);
  const source_selector::link_changes link_update = selector_.UpdateLinks(now);
  for (const std::string& each : link_update.close) sources_.Close(each);
  for (const fleet_member& each : link_update.dial) sources_.Dial(each);
  SetWatching(selector_.ShouldWatchStore(now));
  if (State(now) != reported_state_) ReportState();
}

void store_mirror::SetWatching(bool watching) {
  for (mirrored_kind& each : kinds_) each.feed.SetActive(watching);
  if (watching == watching_) return;
  watching_ = watching;
  watching_since_ = loop_context::Now();
  const auto sources = selector_.WatchingSourceCount(loop_context::Now());
  log_.Write(
      structured_log::kind::kEvent,
      log_line(watching ? "store_watched" : "store_followed")
          .With("sources", static_cast<std::int64_t>(sources))
          .With("followers", static_cast<std::int64_t>(followers_.Size())));
}

void store_mirror::ReportState() {
  const source_state state = State(loop_context::Now());
  if (state != reported_state_) {
    log_.Write(structured_log::kind::kEvent,
               MirrorStateLine(state, reported_state_, followers_.Size()));
  }
  reported_state_ = state;
  followers_.Send(MakeReport(state));
}

source_report store_mirror::MakeReport(source_state state) const {
  return {state, Positions(), ConfirmedAge(kUpstreamsKind), store_unavailable_,
          era_.Known()};
}

bool store_mirror::IsStoreAnswering(monotonic_time now) const {
  if (!watching_) return true;
  if (!Complete() && now - watching_since_ >= kFirstAnswerTimeout) return false;
  return std::none_of(
      kinds_.begin(), kinds_.end(),
      [](const mirrored_kind& each) { return each.feed.Lost(); });
}

source_state store_mirror::State(monotonic_time now) const {
  if (!watching_) return source_state::kFollowing;
  const bool current = Complete() && IsStoreAnswering(now);
  return current ? source_state::kWatching : source_state::kLost;
}

void store_mirror::OnOpen(instance_links::id link) {
  sources_.Subscribe(link, MakeSubscription());
}

mirror_subscription store_mirror::MakeSubscription() const {
  return {name_, Positions(), era_.Known()};
}

bool store_mirror::OnMessage(instance_links::id link,
                             const std::string& bytes) {
  auto message = DecodeMirrorMessage(bytes);
  if (!message.has_value()) return false;
  std::visit([this, link](auto& each) { Receive(link, std::move(each)); },
             *message);
  return true;
}

void store_mirror::Receive(instance_links::id link,
                           const mirror_subscription& message) {
  if (!serving_) return links_.Close(link);
  const monotonic_time now = loop_context::Now();
  const bool is_new = followers_.Add(link, message.instance, now);
  OnReportedEra(message.era);
  for (const mirror_position& each : message.positions) {
    const std::size_t kind = IndexOf(each.kind);
    if (kind == kinds_.size()) continue;
    mirror_position asked = each;
    if (asked.at.era == kNoEra) asked.at.era = kinds_[kind].objects.At().era;
    const auto page = kinds_[kind].objects.PageSince(asked);
    if (page.has_value()) followers_.SendMissed(link, *page, CopyBytes());
  }
  if (!is_new) return;
  Send(link, fleet_report{members_});
  Send(link, MakeReport(State(now)));
}

void store_mirror::Receive(instance_links::id link, mirror_page page) {
  const std::string source = sources_.NameOf(link);
  if (source.empty()) return;
  const std::size_t kind = IndexOf(page.kind);
  if (kind == kinds_.size()) return;
  const auto position = CurrentPosition(kind, page.to);
  if (!position.has_value()) {
    return unused_.Add(page.kind, unused_reason::kOlderEra,
                       kinds_[kind].objects.At(), page.to);
  }
  era_.Observe(position->era);
  page.to = *position;
  page.from.era = position->era;
  const bool newer = page.to > kinds_[kind].objects.At();
  const bool applied = ApplyPage(kind, std::move(page), source);
  if (!applied && newer) sources_.AskForMissed(link, MakeSubscription());
}

void store_mirror::Receive(instance_links::id link,
                           const source_report& report) {
  const std::string source = sources_.NameOf(link);
  if (source.empty()) return;
  const monotonic_time now = loop_context::Now();
  selector_.OnReport(source, report.state, now);
  if (report.state == source_state::kWatching) last_answer_ = now;
  OnReportedEra(report.era);
  bool lacks_changes = false;
  for (const mirror_position& each : report.positions)
    lacks_changes |= CompareWith(each, report, now);
  if (report.store_unavailable) OnStoreUnavailable();
  if (lacks_changes) sources_.AskForMissed(link, MakeSubscription());
  UpdateSources(now);
}

bool store_mirror::CompareWith(const mirror_position& position,
                               const source_report& report,
                               monotonic_time now) {
  const std::size_t kind = IndexOf(position.kind);
  if (kind == kinds_.size()) return false;
  const auto at = CurrentPosition(kind, position.at);
  if (!at.has_value()) return false;
  era_.Observe(at->era);
  mirrored_kind& own = kinds_[kind];
  const mirror_position reported{position.kind, *at, position.digest};
  const bool differs = own.objects.Contradicts(reported);
  const bool has_changes = own.objects.AdvanceTo(reported);
  // The answer to the first subscription may have been deferred.
  if (!own.objects.IsComplete()) return position.at.revision > 0;
  own.feed.SkipTo(own.objects.At());
  if (has_changes && !differs) ConfirmAs(kind, report, now);
  return !has_changes;
}

void store_mirror::ConfirmAs(std::size_t kind, const source_report& report,
                             monotonic_time now) {
  if (kind != kUpstreamsKind) {
    if (report.state == source_state::kWatching) Confirm(kind, now);
  } else if (report.upstreams_confirmed_age.has_value()) {
    Confirm(kind, now - *report.upstreams_confirmed_age);
  }
}

void store_mirror::Receive(instance_links::id link,
                           const fleet_report& report) {
  if (sources_.NameOf(link).empty() || report.members.empty()) return;
  handlers_.on_members(report.members);
}

void store_mirror::OnClosed(instance_links::id link, const std::string& why) {
  const std::string source = sources_.Remove(link, why);
  if (source.empty()) return followers_.Remove(link, why);
  const monotonic_time now = loop_context::Now();
  selector_.OnClosed(source, now);
  UpdateSources(now);
}

std::vector<mirror_position> store_mirror::Positions() const {
  std::vector<mirror_position> positions;
  for (const mirrored_kind& each : kinds_) {
    positions.push_back(each.objects.Position());
  }
  return positions;
}

std::size_t store_mirror::CopyBytes() const {
  std::size_t bytes = 0;
  for (const mirrored_kind& each : kinds_) bytes += each.objects.Bytes();
  return bytes;
}

}  // namespace papayaglade
