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

/// The generation of an order given by somebody who knows `newest`. Two
/// opposite orders never get the same one: "out" goes before "in".
std::uint64_t NextOrderGeneration(std::uint64_t newest, bool out);

/// StartRead the order object of a data centre from the platform.
struct read_order {
  std::string data_centre;
};

/// Write the order if its object still has `expected_version`.
struct write_order {
  data_centre_order order;
  std::uint64_t expected_version = 0;
};

/// Take the order into force here and tell peers.
struct distribute_order {
  data_centre_order order;
};

/// What came of an operator's order.
struct order_result {
  enum class verdict {
    kStored,       ///< Accepted and kept by the platform.
    kDistributed,  ///< Accepted; the platform is out and gets it later.
    kInForce,      ///< It was in force already.
    kSuperseded,   ///< Another operator was first; nothing was changed.
  };
  std::uint64_t ticket = 0;
  verdict outcome = verdict::kStored;
  data_centre_order order;  ///< In force now, as far as is known.
};

using order_action =
    std::variant<read_order, write_order, distribute_order, order_result>;

/// The platform's answer about an order object.
struct order_answer {
  platform_status status = platform_status::kLost;
  std::uint64_t version = 0;
  std::optional<data_centre_order> stored;
};

/// Takes operators' orders and brings them into force, with the platform or
/// without it. See docs/design/data-centre-orders.md.
class data_centre_orders {
 public:
  explicit data_centre_orders(std::uint64_t seed) : random_(seed) {}

  /// An operator's order; an order_result with `ticket` follows.
  void Submit(std::uint64_t ticket, const std::string& data_centre, bool out,
              monotonic_time now);
  /// An order that has come into force here from any source.
  void OnOrder(const data_centre_order& order, monotonic_time now);
  void OnRead(const std::string& data_centre, const order_answer& answer,
              monotonic_time now);
  void OnWritten(const std::string& data_centre, const order_answer& answer,
                 monotonic_time now);
  void OnTick(monotonic_time now);
  /// Whether this instance sees to it that the platform gets orders that were
  /// spread while it was out.
  void SetStoresOrders(bool stores) { stores_orders_ = stores; }

  std::vector<order_action> TakeActions();
  /// Orders accepted here that an opposite one given meanwhile has replaced.
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
    std::optional<data_centre_order> accepted;  ///< By this instance.
    bool call_in_flight = false;
    std::optional<monotonic_time> store_retry_at;  ///< Not known to be stored.
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
