#ifndef PAPAYAGLADE_COORDINATION_SOURCE_SELECTOR_H_
#define PAPAYAGLADE_COORDINATION_SOURCE_SELECTOR_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "state/mirror_message.h"
#include "state/time.h"

namespace papayaglade {

/// Decides which instances this one follows, and whether it watches the store
/// itself. All instances of a data centre compute the same ranking. An instance
/// follows the first two instances that watch the store and rank before it; it
/// watches the store itself as long as it does not have two. As a result two
/// instances watch the store in each data centre, whichever others fail, and no
/// two instances wait for each other.
class source_selector {
 public:
  /// Links to open and to close.
  struct link_changes {
    std::vector<fleet_member> dial;
    /// Names of the instances whose links are to be closed.
    std::vector<std::string> close;
  };

  /// `may_follow`: whether this instance may rely on others instead of watching
  /// the store itself.
  source_selector(fleet_member self, bool may_follow);

  /// Starts the startup phase, in which other instances are asked before the
  /// store, because they may have all the objects.
  void Start(monotonic_time now);
  /// Sets the addresses to ask until SetMembers is called.
  void SetSeeds(const std::vector<fleet_member>& seeds);
  /// Sets the instances as the store lists them. Some of them may be gone; this
  /// instance is among them only once it is registered.
  void SetMembers(const std::vector<fleet_member>& members);
  /// Sets whether the store answers this instance. While it does not, the
  /// instance follows any instance of any data centre that still reaches the
  /// store.
  void SetStoreReachable(bool reachable, monotonic_time now);

  /// Handles a report of a dialled source on how it gets its own state.
  void OnReport(const std::string& source, source_state state,
                monotonic_time now);
  /// Handles the end of the link to a source, or a failure to open it.
  void OnClosed(const std::string& source, monotonic_time now);

  /// Returns the links to open and close now and records them as done.
  link_changes UpdateLinks(monotonic_time now);
  /// Returns whether this instance has to watch the store itself.
  bool ShouldWatchStore(monotonic_time now);
  /// Returns the number of sources that watch the store and reported in time.
  std::size_t WatchingSourceCount(monotonic_time now) const;

 private:
  enum class link_state { kNone, kDialled, kLinked };
  struct candidate {
    fleet_member member;
    /// True if it is in this data centre and ranks before this instance.
    bool ranks_before_self = false;
    link_state link = link_state::kNone;
    source_state state = source_state::kFollowing;
    /// Time of the last report, or of dialling.
    monotonic_time last_heard_at;
    /// The candidate is not dialled before this time.
    monotonic_time retry_at;
  };

  void SetCandidates(const std::vector<fleet_member>& members);
  /// Returns whether the startup phase is over.
  bool IsStartupOver(monotonic_time now) const;
  candidate* FindCandidate(const std::string& name);
  /// Returns whether the candidate watches the store and reported in time.
  static bool IsLiveWatcher(const candidate& each, monotonic_time now);
  /// Returns the number of live watchers that rank before this instance.
  std::size_t ReliableSourceCount(monotonic_time now) const;
  void CloseLink(candidate& each, std::chrono::milliseconds retry_delay,
                 monotonic_time now, link_changes& result);
  /// Returns whether a link to the candidate is of use at present.
  bool IsWanted(const candidate& each) const;
  void CloseUnneededLinks(monotonic_time now, link_changes& result);
  /// Closes, while the store is lost, the link to a source that lost it too,
  /// so that another candidate can be asked.
  void RotateLinks(monotonic_time now, link_changes& result);
  std::size_t LinkCount() const;

  fleet_member self_;
  bool may_follow_;
  bool store_reachable_ = true;
  bool watches_store_ = true;
  bool is_starting_ = false;
  /// True once SetMembers was called.
  bool has_member_list_ = false;
  /// True if an earlier process of this name was listed.
  bool restarted_ = false;
  monotonic_time started_at_;
  /// Time at which the store stopped answering.
  monotonic_time store_lost_at_;
  /// Since when the wanted state differs from `watches_store_`; empty if it
  /// does not.
  std::optional<monotonic_time> change_pending_since_;
  monotonic_time last_rotation_at_;
  /// The candidates, sorted by preference.
  std::vector<candidate> candidates_;
  /// Linked instances that are no longer listed; their links are to be closed.
  std::vector<std::string> unlisted_sources_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SOURCE_SELECTOR_H_
