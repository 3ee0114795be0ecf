#ifndef PAPAYAGLADE_COORDINATION_UPSTREAM_DIRECTORY_H_
#define PAPAYAGLADE_COORDINATION_UPSTREAM_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/known_upstream.h"
#include "coordination/reachability_monitor.h"
#include "coordination/upstream_restrictions.h"
#include "state/entry_messages.h"
#include "state/entry_settings.h"
#include "state/fleet_position.h"
#include "state/route.h"
#include "state/time.h"

namespace papayaglade {

/// Criteria for choosing an upstream of a service.
struct upstream_criteria {
  const std::string* service = nullptr;
  /// Ids of upstreams that were asked already.
  const std::vector<std::string>* excluded = nullptr;
  /// An upstream with an attempt pending for longer than this is suspect.
  std::chrono::microseconds suspect_after{0};
  /// No upstream of another data centre may be chosen.
  bool own_data_centre_only = false;
};

/// Holds the upstreams of all services and chooses the one to ask next.
class upstream_directory {
 public:
  upstream_directory(std::string data_centre, const shutdown_timeouts& bounds,
                     const warmup_limits& warmup);

  /// Adds or updates an upstream. A record of another process under the same id
  /// replaces what was learnt of the old process. An upstream that is unknown
  /// and already leaving is not added. Returns false, and changes nothing, if a
  /// later report of the process is known, unless the record says that it
  /// leaves.
  bool Update(const upstream_record& record, monotonic_time now);
  /// Returns whether the entry of the process in `record` was removed since its
  /// report in the record.
  bool IsRemoved(const upstream_record& record) const;
  /// Returns whether a process under the id of `record` is known that started
  /// after that of the record. Its report is late, or its machine's clock has
  /// stepped back before it started.
  bool IsOfEarlierProcess(const upstream_record& record) const;
  /// Lets the process of `record` take the place of one that started later.
  void ForgetLaterProcess(const upstream_record& record);
  /// Applies what the process of `upstream` says about itself. It binds this
  /// instance for as long as that process lives, whatever becomes of its entry.
  /// Returns true if it is new.
  bool ApplyNotice(known_upstream& upstream, const upstream_notice& notice,
                   monotonic_time now);
  /// Tells that at `time` this directory knew all that the store had accepted
  /// about upstreams. What is learnt later may have been so since then.
  void ConfirmList(monotonic_time time);
  /// Tells that the store was found unavailable at `time`, so that entries of
  /// upstreams that go on serving may lapse.
  void OnStoreUnavailable(monotonic_time time);
  /// Returns the time given to ConfirmList last, or nothing before the first.
  const std::optional<monotonic_time>& ListConfirmedAt() const {
    return list_confirmed_at_;
  }
  /// Returns since when an upstream may be leaving whose leaving is learnt now.
  monotonic_time LeavingSince(monotonic_time now) const;
  /// Starts draining an upstream that the store no longer lists.
  void Remove(const std::string& id, monotonic_time now);
  /// Erases an upstream at once, as when another one answers at its address.
  void Erase(const std::string& id);

  const std::string& DataCentre() const { return data_centre_; }
  /// Returns how long a leaving upstream may still be asked when no other one
  /// can be.
  std::chrono::milliseconds DrainTime() const { return drain_time_; }

  void SetConfiguration(
      std::shared_ptr<const tier_configuration> configuration);
  /// Returns null if there is no configuration yet.
  const std::shared_ptr<const tier_configuration>& Configuration() const {
    return configuration_;
  }
  /// Sets the closed data centres: nothing is sent there.
  void SetClosedDataCentres(std::set<std::string> closed);
  /// Sets the data centres that cannot be reached at present: nothing is sent
  /// there. The upstreams of those that are reachable again are unblocked.
  void SetUnreachableDataCentres(std::set<std::string> unreachable);
  /// Sets the number of instances and the position of this one among them.
  void SetFleet(const fleet_position& fleet);
  void SetWarmup(const warmup_limits& warmup) { warmup_ = warmup; }

  /// Returns the upstream to ask next, or null if none may be asked now.
  upstream_pointer Choose(const upstream_criteria& criteria,
                          monotonic_time now);

  /// Returns whether an upstream that was chosen before may be asked once more.
  bool CanRetry(const upstream_pointer& upstream, monotonic_time now) const;

  /// Returns whether any upstream of the service may be asked, now or as soon
  /// as it has a free connection.
  bool HasUsable(const std::string& service, monotonic_time now) const;

  /// Returns whether any upstream of the service may be asked and is not on
  /// probation.
  bool HasReachable(const std::string& service, monotonic_time now) const;

  /// Returns the counts of each data centre for reachability_monitor.
  std::vector<reachability_monitor::sample> ReachabilitySamples(
      monotonic_time now) const;
  /// Returns an upstream of the data centre that has not asked for a pause, a
  /// different one on each call, or null if there is none.
  upstream_pointer NextUpstreamIn(const std::string& data_centre,
                                  monotonic_time now);

  /// Returns an estimate of the time until the first upstream of the service
  /// may be asked again.
  std::chrono::milliseconds TimeUntilUsable(const std::string& service,
                                            monotonic_time now) const;

  /// Connections that this instance may hold to one upstream of a service in a
  /// data centre.
  struct connection_share {
    /// Limit as long as another upstream of the service has capacity.
    std::size_t preferred = 1;
    /// Limit when no other upstream of the service has capacity.
    std::size_t maximum = 1;
  };
  connection_share ConnectionShare(const std::string& service,
                                   const std::string& data_centre) const;

  /// Counts a request to a cold `upstream` against its warm-up rate.
  void CountSent(known_upstream& upstream, monotonic_time now);

  /// Erases the upstreams whose drain time is over and returns their ids.
  std::vector<std::string> EraseDrained(monotonic_time now);

  /// Returns whether this process of the upstream is still in the directory.
  bool Contains(const upstream_pointer& upstream) const;
  std::size_t Size() const { return upstreams_.size(); }
  const std::map<std::string, upstream_pointer>& All() const {
    return upstreams_;
  }

 private:
  struct service_group {
    /// The upstreams, sorted by id.
    std::vector<upstream_pointer> upstreams;
    std::optional<monotonic_time> last_request_at;
    /// Moving average of the time between requests.
    std::chrono::duration<double> mean_interval{0};
  };

  struct last_report {
    std::int64_t sequence = 0;
    bool removed = false;  ///< The entry was removed after it.
  };

  /// Returns the last known report of the process in `record`, or nothing if
  /// the process is unknown or cannot be told from others.
  std::optional<last_report> LastReport(const upstream_record& record) const;
  /// Keeps what outlives the entry of an upstream.
  void Remember(const known_upstream& upstream);
  /// Keeps the report of an unknown upstream that leaves, beside what was kept
  /// of it before, if anything.
  void RememberLeaving(const upstream_record& record,
                       const upstream_restriction* before);
  /// Returns whether draining, data centre and warm-up rate allow a request.
  bool IsEligible(const known_upstream& upstream, monotonic_time now) const;
  /// Returns whether the upstream is eligible and not blocked.
  bool IsUsable(const known_upstream& upstream, monotonic_time now) const;
  /// Returns the upstreams of the service, sorted by id.
  const std::vector<upstream_pointer>& UpstreamsOf(
      const std::string& service) const;
  /// Returns null if the configuration does not name the service.
  const service_limits* LimitsOf(const std::string& service) const;
  /// Adapts how long observations of the service's upstreams last to the
  /// interval between its requests.
  void RecordRequest(const std::string& service, monotonic_time now);
  /// Which limit of the connection share applies.
  enum class share_limit { kPreferred, kMaximum };

  /// Returns how many attempts may be pending at the upstream.
  std::size_t MaxPending(const known_upstream& upstream,
                         share_limit limit) const;
  /// Returns the usable candidate of lowest cost with fewer than the allowed
  /// number of pending attempts, or null. Those that leave come last.
  upstream_pointer FindBest(const std::vector<upstream_pointer>& candidates,
                            const upstream_criteria& criteria,
                            share_limit limit, monotonic_time now);
  /// Returns whether this instance's share of the warm-up rate allows one more
  /// request.
  bool IsWithinWarmupRate(const known_upstream& upstream,
                          monotonic_time now) const;
  /// Returns the relative expected time of a request; lower is better.
  double Cost(const known_upstream& upstream, const upstream_criteria& criteria,
              monotonic_time now) const;
  /// Sets `usable_until` if the upstream was not known to leave yet.
  void StartDraining(known_upstream& upstream, monotonic_time since) const;

  std::string data_centre_;
  std::chrono::milliseconds drain_time_;
  warmup_limits warmup_;
  std::optional<monotonic_time> list_confirmed_at_;
  std::optional<monotonic_time> store_unavailable_at_;
  std::shared_ptr<const tier_configuration> configuration_;
  std::set<std::string> closed_data_centres_;
  std::set<std::string> unreachable_data_centres_;
  fleet_position fleet_;
  std::map<std::string, upstream_pointer> upstreams_;
  std::map<std::string, service_group> services_;
  upstream_restrictions restrictions_;
  std::uint64_t rotation_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_UPSTREAM_DIRECTORY_H_
