#ifndef PAPAYAGLADE_APP_STORE_MIRROR_H_
#define PAPAYAGLADE_APP_STORE_MIRROR_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "app/copy_confirmations.h"
#include "app/mirror_followers.h"
#include "app/mirror_sources.h"
#include "app/store_feed.h"
#include "app/structured_log.h"
#include "app/unused_answers.h"
#include "coordination/object_mirror.h"
#include "coordination/source_selector.h"
#include "state/copy_status.h"
#include "state/entry_settings.h"
#include "transport/instance_links.h"

namespace papayaglade {

/// This instance's copy of the store's objects. It is updated by watches on the
/// store, or by following other instances that watch the store, and is
/// forwarded to all instances that follow this one. It therefore remains usable
/// while the store is unavailable.
class store_mirror {
 public:
  struct handlers {
    /// Receives the changed objects of one kind, each object once.
    std::function<void(stored_kind, const std::vector<stored_object>&)>
        on_changes;
    /// Receives the instances that another instance knows.
    std::function<void(const std::vector<fleet_member>&)> on_members;
    /// Called when the copy of the upstreams was known to be that of the store
    /// at `time`, before changes that came later are passed on; may be empty.
    std::function<void(monotonic_time time)> on_upstreams_confirmed;
    /// Returns the earliest time at which an event that is handled now may have
    /// happened: earlier than now if the process was held up; may be empty.
    std::function<monotonic_time()> earliest_time;
    /// Called when the store was found unavailable; may be empty.
    std::function<void(monotonic_time time)> on_store_unavailable;
  };

  /// `sharing` is whether the bounds on the delay of changes allow this
  /// instance to follow others instead of watching the store.
  store_mirror(loop_context& loop, const store_format& format,
               structured_log& log, store_era& era, instance_links& links,
               const entry_settings& settings, bool sharing, handlers handlers);

  /// Starts to listen and to look for sources. Returns an empty string, or why
  /// the control address cannot be bound.
  std::string Start();
  /// Disconnects all followers before shutdown, so that they follow other
  /// instances.
  void StopServing();

  /// Sets the known instances, as listed by the store or reported by another
  /// instance.
  void SetMembers(const std::vector<fleet_member>& members);

  /// Returns whether all kinds of objects have been received once.
  bool Complete() const;
  /// Returns when the store last answered this instance or an instance that it
  /// follows.
  monotonic_time LastAnswer() const { return last_answer_; }
  /// Returns what is known of the copy of one kind.
  copy_status StatusOf(stored_kind kind) const;
  /// Returns the state that arrived and was not used.
  const unused_answers& Unused() const { return unused_; }
  std::uint64_t StoreCallCount() const;
  /// Returns the number of the store's entries without a usable name.
  std::uint64_t UnnamedEntryCount() const;
  const mirror_followers& Followers() const { return followers_; }

 private:
  struct mirrored_kind {
    object_mirror objects;
    store_feed feed;
    /// The instance from which the latest page came; empty if it was the store.
    std::string source;
  };
  mirrored_kind MakeKind(std::size_t kind, const store_format& format,
                         const entry_settings& settings, bool sharing);
  /// Returns the handlers of the feed of one kind, by index.
  store_feed::handlers HandlersOf(std::size_t kind);
  /// Returns false if the copy cannot take the page.
  bool OnStorePage(std::size_t kind, page_content content,
                   const store_position& from, const store_page& page,
                   const store_feed::answer_time& time);
  /// Notes that the copy of one kind was that of the store at `time`.
  void Confirm(std::size_t kind, monotonic_time time);
  /// Returns how long ago that was, or nothing if it is unknown or of no use to
  /// followers.
  std::optional<std::chrono::milliseconds> ConfirmedAge(std::size_t kind) const;
  /// Logs copies whose confirmation is overdue, or no longer.
  void CheckConfirmations();
  /// Notes a page of the store, or of another instance, that was not used.
  void NoteUnused(std::size_t kind, const mirror_page& page);
  void OnStoreUnavailable();
  /// Applies a page of `source`, the store if empty, to the copy of one kind
  /// and forwards it to the followers. Returns whether the page was applicable
  /// and newer than the copy.
  bool ApplyPage(std::size_t kind, mirror_page page, const std::string& source);
  /// Lists again what was read of the store before it was restored.
  void OnNewEra(std::int64_t before, std::int64_t era);
  /// Handles an era that another instance knows, but whose state it may not
  /// have.
  void OnReportedEra(std::int64_t era);
  /// Returns a position of another instance in the copy of one kind, or nothing
  /// if it is of an earlier era than the known one.
  std::optional<store_position> CurrentPosition(
      std::size_t kind, const store_position& position) const;
  void Send(instance_links::id link, const mirror_message& message);
  /// Handles a failed call of one feed, the first one or a further one.
  void OnStoreLost(bool first);
  void ResumeFeeds();

  void ScheduleTick();
  void Tick(monotonic_time now);
  /// Applies the choice of sources: closes and opens links, starts or stops
  /// watching the store, and reports a changed state to the followers.
  void UpdateSources(monotonic_time now);
  void SetWatching(bool watching);
  /// Sends the state and the positions to all followers.
  void ReportState();
  source_report MakeReport(source_state state) const;
  /// Returns false if this instance watches the store and the store does not
  /// answer.
  bool IsStoreAnswering(monotonic_time now) const;
  /// Returns the state to report to the followers.
  source_state State(monotonic_time now) const;

  void OnOpen(instance_links::id link);
  /// Returns false if the message is for another component or unreadable.
  bool OnMessage(instance_links::id link, const std::string& bytes);
  void OnClosed(instance_links::id link, const std::string& why);
  void Receive(instance_links::id link, const mirror_subscription& message);
  void Receive(instance_links::id link, mirror_page page);
  void Receive(instance_links::id link, const source_report& report);
  /// Compares the copy of one kind with that of a source. Returns whether it
  /// lacks changes.
  bool CompareWith(const mirror_position& position, const source_report& report,
                   monotonic_time now);
  /// Notes that the copy of one kind equals that of the source that reports.
  void ConfirmAs(std::size_t kind, const source_report& report,
                 monotonic_time now);
  void Receive(instance_links::id link, const fleet_report& report);
  /// Returns the request for all that is newer than the copy.
  mirror_subscription MakeSubscription() const;
  std::vector<mirror_position> Positions() const;
  /// Returns the bytes of all copies.
  std::size_t CopyBytes() const;

  loop_context& loop_;
  structured_log& log_;
  store_era& era_;
  std::string name_;
  endpoint control_;
  std::vector<std::string> seeds_;
  handlers handlers_;
  instance_links& links_;
  source_selector selector_;
  unused_answers unused_;
  std::array<mirrored_kind, kMirroredKinds.size()> kinds_;
  copy_confirmations confirmations_;
  std::vector<fleet_member> members_;
  mirror_sources sources_;
  mirror_followers followers_;
  /// State last reported to the followers.
  source_state reported_state_ = source_state::kFollowing;
  bool watching_ = false;
  /// False once StopServing was called: no new follower is accepted.
  bool serving_ = true;
  monotonic_time watching_since_;
  monotonic_time last_answer_;
  /// The store has been found unavailable since the upstreams were confirmed.
  bool store_unavailable_ = false;
  /// When the known era was first noticed.
  monotonic_time era_start_;
  /// The latest era that another instance reported.
  std::int64_t reported_era_ = kNoEra;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STORE_MIRROR_H_
