#ifndef PAPAYAGLADE_APP_ENTRY_INSTANCE_H_
#define PAPAYAGLADE_APP_ENTRY_INSTANCE_H_

#include <memory>
#include <string>

#include "protocol/entry_wire_format.h"
#include "protocol/store_format.h"
#include "state/entry_settings.h"

namespace papayaglade {

/// An entry instance: accepts callers' requests and sends them directly to
/// upstreams. Everything runs on one event loop.
class entry_instance {
 public:
  /// Reloads `settings_file` when the file changes. `wire` and `format` must
  /// outlive the instance.
  entry_instance(std::string settings_file, const entry_settings& settings,
                 const entry_wire_format& wire, const store_format& format);
  ~entry_instance();

  entry_instance(const entry_instance&) = delete;
  entry_instance& operator=(const entry_instance&) = delete;

  /// Binds the ports and starts the periodic tasks. Returns an empty string, or
  /// the reason for the failure.
  std::string Start();
  /// Runs the event loop. Returns after SIGTERM, once all accepted requests are
  /// answered or the shutdown bound is almost reached.
  void Run();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ENTRY_INSTANCE_H_
