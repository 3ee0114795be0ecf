#ifndef PAPAYAGLADE_APP_STORE_MIRROR_H_
#define PAPAYAGLADE_APP_STORE_MIRROR_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "app/decision_log.h"
#include "app/store_feed.h"
#include "coordination/object_mirror.h"
#include "coordination/source_selector.h"
#include "state/entry_settings.h"
#include "transport/mirror_links.h"

namespace papayaglade {

/// This instance's copy of the store's objects. It is kept by watches on the
/// store, or by following other instances that watch it, and is passed on to
/// all instances that follow this one; so it goes on without the store too.
class store_mirror {
 public:
  struct handlers {
    /// What changed in the copy, each object once.
    std::function<void(stored_kind, const std::vector<stored_object>&)>
        on_changes;
    /// Other instances, as one of them knows them.
    std::function<void(const std::vector<fleet_member>&)> on_members;
  };

  /// `sharing`: whether the bounds on changes leave time for following others.
  store_mirror(loop_context& loop, const store_format& format,
               decision_log& log, const entry_settings& settings, bool sharing,
               handlers handlers);

  /// Returns an empty string, or why the control address cannot be bound.
  std::string Start();
  /// This instance is about to end: others follow someone else.
  void StopServing();

  /// The instances that the store lists, or another instance knows.
  void SetMembers(const std::vector<fleet_member>& members);

  /// All kinds of objects have come once.
  bool Complete() const;
  /// When the store last answered this instance, or one that it follows.
  monotonic_time LastAnswer() const { return last_answer_; }
  std::uint64_t StoreCalls() const;
  std::size_t Followers() const { return followers_.size(); }

 private:
  struct mirrored_kind {
    object_mirror objects;
    store_feed feed;
  };
  struct follower {
    std::string instance;
    monotonic_time heard;
  };

  store_feed::handlers HandlersOf(std::size_t kind);
  void OnStorePage(std::size_t kind, page_content content, std::int64_t from,
                   const store_page& page);
  /// Whether the page fitted and brought something newer.
  bool Take(std::size_t kind, const mirror_page& page);
  std::vector<mirror_links::id> FollowerLinks() const;
  void OnStoreLost();
  void ResumeFeeds();

  void PlanTick();
  void Tick(monotonic_time now);
  /// Follows the choice of sources, and tells followers what changed of it.
  void Review(monotonic_time now);
  void Dial(const fleet_member& member);
  void SetWatching(bool watching);
  void Report();
  bool StoreAnswers(monotonic_time now) const;
  source_state State(monotonic_time now) const;

  void OnOpen(mirror_links::id link);
  void OnMessage(mirror_links::id link, const mirror_message& message);
  void OnClosed(mirror_links::id link, const std::string& why);
  void Receive(mirror_links::id link, const mirror_subscription& message);
  void Receive(mirror_links::id link, const mirror_page& page);
  void Receive(mirror_links::id link, const source_report& report);
  void Receive(mirror_links::id link, const fleet_report& report);
  void Subscribe(mirror_links::id link);
  void DropSilentFollowers(monotonic_time now);
  std::vector<mirror_position> Positions() const;

  loop_context& loop_;
  decision_log& log_;
  std::string name_;
  endpoint control_;
  std::vector<std::string> seeds_;
  handlers handlers_;
  mirror_links links_;
  source_selector choice_;
  std::array<mirrored_kind, kMirroredKinds.size()> kinds_;
  std::vector<fleet_member> members_;
  std::map<mirror_links::id, std::string> sources_;  ///< Names, by link.
  std::map<mirror_links::id, follower> followers_;
  source_state reported_ = source_state::kFollowing;
  bool watching_ = false;
  bool serving_ = true;
  monotonic_time watching_since_;
  monotonic_time last_answer_;
  monotonic_time subscribed_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STORE_MIRROR_H_
