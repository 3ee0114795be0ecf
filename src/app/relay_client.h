#ifndef PAPAYAGLADE_APP_RELAY_CLIENT_H_
#define PAPAYAGLADE_APP_RELAY_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "coordination/reachability_monitor.h"
#include "coordination/relay_peers.h"
#include "state/relay_message.h"
#include "transport/instance_links.h"

namespace papayaglade {

/// Hands legs of fan-outs over to instances in other data centres. It keeps
/// links to a few of them and avoids those that do not answer in time.
class relay_client {
 public:
  using id = std::uint64_t;
  struct handlers {
    std::function<void(const relay_reply&)> on_reply;
    /// Called when no further reply can arrive.
    std::function<void()> on_lost;
  };
  /// Counts since the start.
  struct totals {
    std::size_t requests = 0;
    std::size_t legs = 0;
    std::size_t lost = 0;    ///< Requests whose link closed before their end.
    std::size_t silent = 0;  ///< Requests that ended without any reply.
  };

  relay_client(loop_context& loop, instance_links& links, fleet_member self,
               reachability_monitor& reachability);

  void SetMembers(const std::vector<fleet_member>& members) {
    peers_.SetMembers(members);
  }

  /// Hands `request` over to an instance of `data_centre`. Returns 0 if none
  /// can take it now; otherwise the handlers are called, never before Send
  /// returns. The id of `request` is replaced.
  id Send(const std::string& data_centre, relay_request request,
          handlers handlers);
  /// Tells the other instance that the result of a leg is no longer needed.
  void Cancel(id exchange, std::uint64_t number);
  /// Ends an exchange: no handler is called any more.
  void End(id exchange);

  const totals& Totals() const { return totals_; }

 private:
  struct exchange {
    relay_peer_pointer peer;
    instance_links::id link = 0;
    monotonic_time begun;
    std::chrono::milliseconds flush_after{0};
    handlers on;
    bool replied = false;
    std::vector<std::uint64_t> cancelled;
  };

  void Dial(const std::string& data_centre);
  void OnOpen(instance_links::id link);
  /// Returns false if the message is for another component.
  bool OnMessage(instance_links::id link, const std::string& bytes);
  void OnClosed(instance_links::id link);
  void OnReply(instance_links::id link, const relay_reply& reply);
  void FlushCancelled(id number);

  loop_context& loop_;
  instance_links& links_;
  reachability_monitor& reachability_;
  relay_peers peers_;
  std::map<instance_links::id, relay_peer_pointer> peers_by_link_;
  std::map<const relay_peer*, instance_links::id> links_by_peer_;
  std::map<id, exchange> exchanges_;
  id last_id_ = 0;
  totals totals_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_RELAY_CLIENT_H_
