#ifndef PAPAYAGLADE_APP_RESULT_OUTBOX_H_
#define PAPAYAGLADE_APP_RESULT_OUTBOX_H_

#include <vector>

#include "coordination/ports.h"
#include "state/events.h"

namespace papayaglade {

/// Collects the results of one wake-up and sends them in few messages, usually
/// one to each entry instance.
class result_outbox {
 public:
  result_outbox(const instance_identity& self, peer_port& peers,
                router_ring& router);

  void Add(const instance_identity& origin, shard_result result);

  /// Sends the collected results. Results that do not fit into the router's
  /// ring are kept for the next call.
  void Flush();

  bool Empty() const { return pending_.empty(); }

 private:
  struct addressed_results {
    instance_identity origin;
    shard_results message;
  };

  bool Send(addressed_results& results);

  instance_identity self_;
  peer_port& peers_;
  router_ring& router_;
  std::vector<addressed_results> pending_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_RESULT_OUTBOX_H_
