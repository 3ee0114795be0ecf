#ifndef PAPAYAGLADE_APP_INSTANCE_REGISTRY_H_
#define PAPAYAGLADE_APP_INSTANCE_REGISTRY_H_

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "app/structured_log.h"
#include "protocol/store_format.h"
#include "state/fleet_position.h"
#include "state/mirror_message.h"
#include "transport/http_exchange_channel.h"

namespace papayaglade {

/// Enters this instance in the store at its start and takes it out at its
/// end, and counts the others now and then. An instance that was killed stays
/// counted: shares then are smaller than they could be, never larger.
class instance_registry {
 public:
  /// The place of this instance among all, and all that are listed.
  using count_handler = std::function<void(const fleet_position& fleet,
                                           std::vector<fleet_member> members)>;

  instance_registry(loop_context& loop, const store_format& format,
                    structured_log& log, endpoint store, fleet_member self,
                    count_handler on_count);

  void Start();
  void Leave();
  /// What another instance knows counts until the store has answered.
  void OnPeerMembers(const std::vector<fleet_member>& members);

 private:
  void Register();
  void OnNameTaken();
  /// Then enters the instance again, unless it is leaving.
  void Unregister();
  void Count();
  /// `starting`: others are still entering themselves.
  void ReportPosition(bool starting);
  void OnList(const http_exchange_channel::result& result);
  void Call(
      std::string request,
      const std::function<void(const http_exchange_channel::result&)>& done);

  loop_context& loop_;
  const store_format& format_;
  structured_log& log_;
  endpoint store_;
  fleet_member self_;
  count_handler on_count_;
  std::map<std::string, fleet_member> members_;  ///< By name.
  std::string list_after_;
  std::optional<fleet_position> last_position_;
  std::size_t completed_counts_ = 0;  ///< Lists that were read.
  bool registration_started_ = false;
  bool replaced_old_entry_ = false;  ///< An entry of an earlier process.
  bool leaving_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_INSTANCE_REGISTRY_H_
