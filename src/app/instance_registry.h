#ifndef PAPAYAGLADE_APP_INSTANCE_REGISTRY_H_
#define PAPAYAGLADE_APP_INSTANCE_REGISTRY_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "app/structured_log.h"
#include "coordination/store_era.h"
#include "protocol/store_format.h"
#include "state/fleet_position.h"
#include "state/mirror_message.h"
#include "transport/http_exchange_channel.h"

namespace papayaglade {

/// Registers this instance in the store at startup, removes it at shutdown, and
/// counts the registered instances periodically. An instance that was killed
/// remains counted: each instance's share of a limit is then smaller than it
/// could be, never larger. A restored store may lack entries, so each instance
/// then enters itself again, and all that were listed before remain counted for
/// a time.
class instance_registry {
 public:
  /// Receives the position of this instance among all instances, and all listed
  /// instances.
  using count_handler = std::function<void(const fleet_position& fleet,
                                           std::vector<fleet_member> members)>;

  instance_registry(loop_context& loop, const store_format& format,
                    structured_log& log, store_era& era, endpoint store,
                    fleet_member self, count_handler on_count);

  /// Reads the list of instances, then registers this one.
  void Start();
  /// Removes this instance from the store and stops counting.
  void Leave();
  /// Uses the instances that another instance knows. Ignored once this one has
  /// counted them by itself.
  void OnPeerMembers(const std::vector<fleet_member>& members);
  /// Returns how often this instance was found missing and entered again.
  std::uint64_t ReentryCount() const { return reentries_; }

 private:
  using members_by_name = std::map<std::string, fleet_member>;

  void Register();
  void ScheduleRegister(std::chrono::milliseconds delay);
  void OnRegistered(const http_exchange_channel::result& result);
  /// Counts and logs an entry that was written again.
  void LogReentry();
  /// Handles that the store was restored from a copy, which may lack entries.
  void OnNewEra(std::int64_t before);
  /// Returns the time over which all instances spread their entries.
  std::chrono::milliseconds ReentrySpread() const;
  /// Enters this instance again if it is missing from a complete list, or if
  /// another entry has its name.
  void CheckOwnEntry();
  /// Returns whether the listed entry is one of an earlier process.
  bool IsOtherEntry(const fleet_member& listed) const;
  /// Removes the entry that an earlier process left under this name.
  void OnNameTaken();
  /// Removes the store's entry of this instance, then registers the instance
  /// again unless it is leaving.
  void Unregister();
  void Count();
  /// Makes the next call of a count ask for the first page.
  void BeginCount();
  void ScheduleCount(std::chrono::milliseconds delay);
  /// Returns the delay of the next count after a complete one.
  std::chrono::milliseconds NextCountDelay();
  /// Keeps `members` counted for a time, whether they are listed or not.
  void Retain(const members_by_name& members);
  /// Logs and reports the position. While `starting`, other instances may not
  /// have registered yet, so a minimum count is assumed.
  void ReportPosition(bool starting);
  /// Handles one page of the list of instances, which was asked for in `era`.
  void OnList(std::int64_t era, const http_exchange_channel::result& result);
  /// Notes the era of an answer. Returns the result, as a failure if the answer
  /// is of an older era.
  http_exchange_channel::result InKnownEra(
      http_exchange_channel::result result);
  /// Makes one call to the store; `done` is called once, with a failure if no
  /// answer arrives in time or the answer is of an older era.
  void Call(
      std::string request,
      const std::function<void(const http_exchange_channel::result&)>& done);

  loop_context& loop_;
  const store_format& format_;
  structured_log& log_;
  store_era& era_;
  endpoint store_;
  fleet_member self_;
  count_handler on_count_;
  std::mt19937_64 random_;
  /// The instances of the list that is being read.
  members_by_name members_;
  /// The instances of the last complete list.
  members_by_name listed_;
  /// Instances that are counted until `retained_until_`.
  members_by_name retained_;
  monotonic_time retained_until_;
  /// Last name of the previous page of a list; empty at the first page.
  std::string list_after_;
  /// Position last reported; empty before the first report.
  std::optional<fleet_position> last_position_;
  std::size_t completed_counts_ = 0;  ///< Number of complete lists read.
  /// Number of counts that are still to follow each other soon.
  std::size_t quick_counts_ = 1;
  std::optional<timer_queue::id> count_timer_;
  /// The next call that enters the instance, if one is scheduled.
  std::optional<timer_queue::id> register_timer_;
  bool registration_started_ = false;
  bool registering_ = false;   ///< A call that enters the instance is pending.
  bool entered_once_ = false;  ///< The store has accepted the entry.
  /// When the store last accepted the entry in the known era.
  std::optional<monotonic_time> entered_at_;
  /// When the store was found restored; empty if the entry has been checked.
  std::optional<monotonic_time> restored_at_;
  std::uint64_t reentries_ = 0;
  /// An earlier process's entry was removed in this era.
  bool replaced_old_entry_ = false;
  bool leaving_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_INSTANCE_REGISTRY_H_
