#ifndef PAPAYAGLADE_COORDINATION_UPSTREAM_DIRECTORY_H_
#define PAPAYAGLADE_COORDINATION_UPSTREAM_DIRECTORY_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/observed_health.h"
#include "coordination/path_watch.h"
#include "state/entry_settings.h"
#include "state/fleet_position.h"
#include "state/route.h"
#include "state/time.h"
#include "state/upstream_record.h"

namespace papayaglade {

/// One upstream as this instance knows it.
struct known_upstream {
  upstream_record record;
  observed_health health;
  /// Set once it drains or left discovery; it is asked only when no other
  /// upstream of its service can be, and not at all after this time.
  std::optional<monotonic_time> leaves_at;
  monotonic_time warm_at;       ///< Cold before this time.
  std::size_t connections = 0;  ///< Open or opening, by this instance.
  std::deque<monotonic_time> cold_requests;  ///< Sent in the last second.
};

using upstream_pointer = std::shared_ptr<known_upstream>;

/// What a choice among the upstreams of one service has to go by.
struct upstream_query {
  const std::string* service = nullptr;
  const std::vector<std::string>* excluded = nullptr;  ///< Ids already asked.
  /// An upstream with an attempt pending for longer is suspect.
  std::chrono::microseconds suspect_after{0};
};

/// The upstreams of all services, and which of them to ask next.
class upstream_directory {
 public:
  upstream_directory(std::string data_centre, const shutdown_timeouts& bounds,
                     const warmup_limits& warmup);

  void Update(const upstream_record& record, monotonic_time now);
  void Remove(const std::string& id, monotonic_time now);
  /// Forgets an upstream at once: its address answers for another one.
  void Forget(const std::string& id);

  /// How long a leaving upstream is asked when no other one can be.
  std::chrono::milliseconds LeaveTime() const { return leave_time_; }

  void SetConfiguration(
      std::shared_ptr<const tier_configuration> configuration);
  void SetClosedDataCentres(std::set<std::string> closed);
  /// Data centres that cannot be reached at present: nothing is sent there.
  void SetCutDataCentres(std::set<std::string> cut);
  void SetFleet(const fleet_position& fleet);
  void SetWarmup(const warmup_limits& warmup) { warmup_ = warmup; }

  /// The upstream to ask next, or null when none may be asked now.
  upstream_pointer Choose(const upstream_query& query, monotonic_time now);

  /// Whether an upstream that was chosen before may be asked once more.
  bool MayAskAgain(const upstream_pointer& upstream, monotonic_time now) const;

  /// Whether any upstream of the service may be asked, now or soon.
  bool HasUsable(const std::string& service, monotonic_time now) const;

  /// Whether any upstream of the service can be reached, as far as known.
  bool Reachable(const std::string& service, monotonic_time now) const;

  /// How the upstreams of each data centre fare, for path_watch.
  std::vector<path_watch::sample> PathSamples(monotonic_time now) const;
  /// Some upstream of the data centre, another one each time; or null.
  upstream_pointer AnyOf(const std::string& data_centre);

  /// How long until the service may have an upstream again, as far as known.
  std::chrono::milliseconds UsableAfter(const std::string& service,
                                        monotonic_time now) const;

  /// Connections that this instance may hold to one upstream of the service:
  /// usually, and when no other upstream has room.
  struct connection_share {
    std::size_t usual = 1;
    std::size_t most = 1;
  };
  connection_share ConnectionShare(const std::string& service) const;

  /// Counts a request sent to `upstream` against its bound while cold.
  void CountSent(known_upstream& upstream, monotonic_time now);

  /// Drops upstreams that have left; returns their ids.
  std::vector<std::string> DropLeft(monotonic_time now);

  /// Whether this very process is still listed.
  bool Knows(const upstream_pointer& upstream) const;
  std::size_t Size() const { return upstreams_.size(); }
  const std::map<std::string, upstream_pointer>& All() const {
    return upstreams_;
  }

 private:
  struct service_group {
    std::vector<upstream_pointer> upstreams;  ///< In the order of ids.
    std::optional<monotonic_time> last_request;
    std::chrono::duration<double> gap{0};  ///< Usual time between requests.
  };

  bool MayAsk(const known_upstream& upstream, monotonic_time now) const;
  /// MayAsk, and it is not blocked.
  bool IsUsable(const known_upstream& upstream, monotonic_time now) const;
  /// Those of the service in the order of ids; empty when there are none.
  const std::vector<upstream_pointer>& Of(const std::string& service) const;
  /// Null when the configuration does not name the service.
  const service_limits* LimitsOf(const std::string& service) const;
  /// What is learnt of the service's upstreams lasts for some requests.
  void NoteRequest(const std::string& service, monotonic_time now);
  upstream_pointer Best(const std::vector<upstream_pointer>& candidates,
                        const upstream_query& query, std::size_t most_pending,
                        monotonic_time now);
  bool WithinWarmup(const known_upstream& upstream, monotonic_time now) const;
  /// How many upstreams of a service this instance keeps connections to.
  std::size_t Kept(const std::string& service, std::size_t upstreams) const;
  /// Those upstreams; with more instances than connections each instance
  /// keeps to some, evenly spread.
  std::vector<bool> KeptAmong(
      const std::string& service,
      const std::vector<upstream_pointer>& candidates) const;
  double Cost(const known_upstream& upstream, const upstream_query& query,
              monotonic_time now) const;
  void StartLeaving(known_upstream& upstream, monotonic_time now) const;

  std::string data_centre_;
  std::chrono::milliseconds leave_time_;
  warmup_limits warmup_;
  std::shared_ptr<const tier_configuration> configuration_;
  std::set<std::string> closed_;
  std::set<std::string> cut_;
  fleet_position fleet_;
  std::map<std::string, upstream_pointer> upstreams_;
  std::map<std::string, service_group> services_;
  std::uint64_t turn_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_UPSTREAM_DIRECTORY_H_
