#ifndef PAPAYAGLADE_APP_ENTRY_METRICS_H_
#define PAPAYAGLADE_APP_ENTRY_METRICS_H_

#include <string>

#include "app/instance_registry.h"
#include "app/metrics_registry.h"
#include "app/relay_client.h"
#include "app/relay_server.h"
#include "app/store_mirror.h"
#include "app/store_object_applier.h"
#include "coordination/store_era.h"
#include "transport/upstream_client.h"

namespace papayaglade {

/// Writes the metrics of an entry instance, as its parts have counted them.
class entry_metrics {
 public:
  struct parts {
    const metrics_registry& requests;
    const upstream_client& upstreams;
    const relay_client& relays;
    const relay_server& relays_for_others;
    const store_mirror& mirror;
    const store_era& era;
    const store_object_applier& applier;
    const instance_registry& registry;
  };

  /// The parts must outlive this object.
  explicit entry_metrics(const parts& parts) : parts_(parts) {}

  /// Returns all metrics in the Prometheus text format.
  std::string Format() const;

 private:
  std::string FormatUpstreams() const;
  std::string FormatRelays() const;
  std::string FormatStore() const;
  /// Returns what is known of the copy of the store.
  std::string FormatCopy() const;

  const parts parts_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ENTRY_METRICS_H_
