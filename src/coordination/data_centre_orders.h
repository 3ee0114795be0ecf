#ifndef PAPAYAGLADE_COORDINATION_DATA_CENTRE_ORDERS_H_
#define PAPAYAGLADE_COORDINATION_DATA_CENTRE_ORDERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "state/cluster_view.h"
#include "state/platform_messages.h"
#include "state/time.h"

namespace papayaglade {

/// Returns the generation of an order that follows generation `newest`.
/// Opposite orders never get the same generation: "out" takes precedence over
/// "in".
std::uint64_t NextOrderGeneration(std::uint64_t newest, bool out);

/// Asks the caller to read the order object of a data centre from the platform.
struct read_order {
  std::string data_centre;
};

/// Asks the caller to write the order if the stored object still has
/// `expected_version`.
struct write_order {
  data_centre_order order;
  std::uint64_t expected_version = 0;
};

/// Asks the caller to put the order into force here and to send it to peers.
struct distribute_order {
  data_centre_order order;
};

/// Result of an operator's order.
struct order_result {
  enum class verdict {
    kStored,       ///< Accepted and stored by the platform.
    kDistributed,  ///< Accepted and sent to peers; stored once the platform
                   ///< is reachable.
    kInForce,      ///< The order was in force already.
    kSuperseded,   ///< Another order came first; nothing was changed.
  };
  std::uint64_t ticket = 0;
  verdict outcome = verdict::kStored;
  data_centre_order order;  ///< The newest known order.
};

using order_action =
    std::variant<read_order, write_order, distribute_order, order_result>;

/// Result of a platform call that read or wrote an order object.
struct order_answer {
  platform_status status = platform_status::kLost;
  std::uint64_t version = 0;
  std::optional<data_centre_order> stored;
};

/// Accepts operators' orders and puts them into force, whether or not the
/// platform is reachable. See docs/design/data-centre-orders.md.
class data_centre_orders {
 public:
  explicit data_centre_orders(std::uint64_t seed) : random_(seed) {}

  /// Submits an operator's order; an order_result with `ticket` follows.
  void Submit(std::uint64_t ticket, const std::string& data_centre, bool out,
              monotonic_time now);
  /// Called when an order from any source has come into force here.
  void OnOrder(const data_centre_order& order, monotonic_time now);
  void OnRead(const std::string& data_centre, const order_answer& answer,
              monotonic_time now);
  void OnWritten(const std::string& data_centre, const order_answer& answer,
                 monotonic_time now);
  void OnTick(monotonic_time now);
  /// Sets whether this instance stores orders on the platform that were
  /// distributed while the platform was unreachable.
  void SetStoresOrders(bool stores) { stores_orders_ = stores; }

  std::vector<order_action> TakeActions();
  /// Returns the orders accepted here that a concurrent opposite order
  /// replaced.
  const std::vector<data_centre_order>& Overruled() const { return overruled_; }

 private:
  struct pending_order {
    std::uint64_t ticket = 0;
    bool out = false;
    monotonic_time decision_deadline;
  };
  struct known_order {
    data_centre_order newest;
    std::optional<pending_order> pending;
    /// The last order accepted here; empty once it is overruled.
    std::optional<data_centre_order> accepted;
    bool call_in_flight = false;
    /// Time of the next attempt to store the order; empty if it need not be
    /// stored.
    std::optional<monotonic_time> store_retry_at;
  };

  known_order& FindOrAdd(const std::string& data_centre);
  void StartRead(known_order& known);
  void Accept(known_order& known, order_result::verdict how);
  void Finish(known_order& known, order_result::verdict how);
  void UpdateNewest(known_order& known, const data_centre_order& order);
  void DecideWithoutPlatform(known_order& known, monotonic_time now);
  void ScheduleStore(known_order& known, monotonic_time now);

  std::mt19937_64 random_;
  bool stores_orders_ = false;
  std::map<std::string, known_order> orders_;
  std::vector<data_centre_order> overruled_;
  std::vector<order_action> actions_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_DATA_CENTRE_ORDERS_H_
