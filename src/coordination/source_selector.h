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

/// Decides which instances this one follows, and whether it has to watch the
/// store itself. The instances of a data centre are ranked alike by all: one
/// follows the first two that watch the store and rank before it, and watches
/// as long as it has not got two. So two watch in each data centre, whoever
/// else fails, and nobody waits for one that waits for it.
class source_selector {
 public:
  /// Which links to open and close now.
  struct link_changes {
    std::vector<fleet_member> dial;
    std::vector<std::string> close;  ///< Names.
  };

  /// `may_follow`: whether this instance may do without a watch of its own.
  source_selector(fleet_member self, bool may_follow);

  /// Another instance may have all that this one needs: it is asked before
  /// the store is.
  void Start(monotonic_time now);
  /// Addresses to ask as long as no instance is known.
  void SetSeeds(const std::vector<fleet_member>& seeds);
  /// Instances as the store lists them; some may be gone. This one is among
  /// them only once it was listed.
  void SetMembers(const std::vector<fleet_member>& members);
  /// Whether the store answers this instance. While it does not, any
  /// instance of any data centre that still reaches it is of use.
  void SetStoreReachable(bool reachable, monotonic_time now);

  /// A source that was dialled said how it gets its state.
  void OnReport(const std::string& source, source_state state,
                monotonic_time now);
  /// The link to it ended, or did not come about.
  void OnClosed(const std::string& source, monotonic_time now);

  link_changes UpdateLinks(monotonic_time now);
  /// Whether this instance has to watch the store itself.
  bool ShouldWatchStore(monotonic_time now);
  /// Sources that watch the store and were heard of lately.
  std::size_t WatchingSourceCount(monotonic_time now) const;

 private:
  enum class link_state { kNone, kDialled, kLinked };
  struct candidate {
    fleet_member member;
    bool ranks_before_self = false;  ///< Ranks before this instance.
    link_state link = link_state::kNone;
    source_state state = source_state::kFollowing;
    monotonic_time last_heard_at;  ///< Or dialled.
    monotonic_time retry_at;       ///< Not dialled before.
  };

  void SetCandidates(const std::vector<fleet_member>& members);
  bool IsStartupOver(monotonic_time now) const;
  candidate* FindCandidate(const std::string& name);
  static bool IsLiveWatcher(const candidate& each, monotonic_time now);
  /// Sources that this instance may rely on.
  std::size_t ReliableSourceCount(monotonic_time now) const;
  void CloseLink(candidate& each, std::chrono::milliseconds retry,
                 monotonic_time now, link_changes& result);
  bool IsWanted(const candidate& each) const;
  void CloseUnneededLinks(monotonic_time now, link_changes& result);
  /// While the store is lost: makes room to ask others in turn.
  void RotateLinks(monotonic_time now, link_changes& result);
  std::size_t LinkCount() const;

  fleet_member self_;
  bool may_follow_;
  bool store_reachable_ = true;
  bool watches_store_ = true;
  bool is_starting_ = false;
  bool has_member_list_ = false;  ///< Members are known.
  bool restarted_ = false;  ///< An earlier process of this name was listed.
  monotonic_time started_at_;
  monotonic_time store_lost_at_;  ///< Of the store.
  std::optional<monotonic_time>
      change_pending_since_;  ///< Not `watches_store_` any more.
  monotonic_time last_rotation_at_;
  std::vector<candidate> candidates_;          ///< In the order of preference.
  std::vector<std::string> unlisted_sources_;  ///< Linked, and listed no more.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_SOURCE_SELECTOR_H_
