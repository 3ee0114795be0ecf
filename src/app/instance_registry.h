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

/// Registers this instance in the store at startup, removes it at shutdown, and
/// counts the registered instances periodically. An instance that was killed
/// remains counted: each instance's share of a limit is then smaller than it
/// could be, never larger.
class instance_registry {
 public:
  /// Receives the position of this instance among all instances, and all listed
  /// instances.
  using count_handler = std::function<void(const fleet_position& fleet,
                                           std::vector<fleet_member> members)>;

  instance_registry(loop_context& loop, const store_format& format,
                    structured_log& log, endpoint store, fleet_member self,
                    count_handler on_count);

  /// Reads the list of instances, then registers this one.
  void Start();
  /// Removes this instance from the store and stops counting.
  void Leave();
  /// Uses the instances that another instance knows. Ignored once the store has
  /// answered.
  void OnPeerMembers(const std::vector<fleet_member>& members);

 private:
  void Register();
  /// Removes the entry that an earlier process left under this name.
  void OnNameTaken();
  /// Removes the store's entry of this instance, then registers the instance
  /// again unless it is leaving.
  void Unregister();
  void Count();
  /// Logs and reports the position. While `starting`, other instances may not
  /// have registered yet, so a minimum count is assumed.
  void ReportPosition(bool starting);
  /// Handles one page of the list of instances.
  void OnList(const http_exchange_channel::result& result);
  /// Makes one call to the store; `done` is called once, with a failure if no
  /// answer arrives in time.
  void Call(
      std::string request,
      const std::function<void(const http_exchange_channel::result&)>& done);

  loop_context& loop_;
  const store_format& format_;
  structured_log& log_;
  endpoint store_;
  fleet_member self_;
  count_handler on_count_;
  std::map<std::string, fleet_member> members_;  ///< Listed instances by name.
  /// Last name of the previous page of a list; empty at the first page.
  std::string list_after_;
  /// Position last reported; empty before the first report.
  std::optional<fleet_position> last_position_;
  std::size_t completed_counts_ = 0;  ///< Number of complete lists read.
  bool registration_started_ = false;
  /// An earlier process's entry was removed.
  bool replaced_old_entry_ = false;
  bool leaving_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_INSTANCE_REGISTRY_H_
