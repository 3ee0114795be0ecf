#ifndef PAPAYAGLADE_APP_RELAY_SERVER_H_
#define PAPAYAGLADE_APP_RELAY_SERVER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "coordination/relay_run.h"
#include "state/route.h"
#include "transport/instance_links.h"
#include "transport/upstream_client.h"

namespace papayaglade {

/// Runs the legs of fan-outs that instances in other data centres hand over to
/// this one.
class relay_server {
 public:
  relay_server(loop_context& loop, instance_links& links,
               upstream_directory& directory, upstream_client& client);
  ~relay_server();

  /// Takes no further requests.
  void BeginStop() { stopping_ = true; }
  std::size_t ActiveCount() const { return runs_.size(); }
  /// Returns the number of legs asked for since the start.
  std::size_t LegCount() const { return leg_count_; }

 private:
  class active_relay;
  /// A link, and the id of a request on it.
  using run_key = std::pair<instance_links::id, std::uint64_t>;

  /// Returns false if the message is for another component.
  bool OnMessage(instance_links::id link, const std::string& bytes);
  void OnRequest(instance_links::id link, relay_request request);
  void OnCancel(instance_links::id link, const relay_cancel& cancel);
  void OnClosed(instance_links::id link);
  /// Replies that none of the legs was sent.
  void Refuse(instance_links::id link, const relay_request& request);
  /// Returns null if the configuration does not name the route.
  const route* FindRoute(const std::string& name) const;
  void Remove(const run_key& key);

  loop_context& loop_;
  instance_links& links_;
  upstream_directory& directory_;
  upstream_client& upstream_client_;
  std::map<run_key, std::shared_ptr<active_relay>> runs_;
  std::size_t leg_count_ = 0;
  bool stopping_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_RELAY_SERVER_H_
