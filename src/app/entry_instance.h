#ifndef PAPAYAGLADE_APP_ENTRY_INSTANCE_H_
#define PAPAYAGLADE_APP_ENTRY_INSTANCE_H_

#include <memory>
#include <string>

#include "protocol/entry_wire_format.h"
#include "protocol/store_format.h"
#include "state/entry_settings.h"

namespace papayaglade {

/// One instance that sends callers' requests directly to upstreams. All of it
/// runs on one event loop.
class entry_instance {
 public:
  /// `settings_file` is read again when it changes. The formats must outlive
  /// the instance.
  entry_instance(std::string settings_file, const entry_settings& settings,
                 const entry_wire_format& wire, const store_format& format);
  ~entry_instance();

  entry_instance(const entry_instance&) = delete;
  entry_instance& operator=(const entry_instance&) = delete;

  /// Binds the ports; returns an empty string, or why it could not.
  std::string Start();
  /// Returns after SIGTERM, once all accepted requests are answered or the
  /// shutdown bound is near.
  void Run();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ENTRY_INSTANCE_H_
