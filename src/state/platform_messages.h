#ifndef PAPAYAGLADE_STATE_PLATFORM_MESSAGES_H_
#define PAPAYAGLADE_STATE_PLATFORM_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/identity.h"

namespace papayaglade {

/// Reads one object.
struct platform_get {
  std::string kind;
  std::string name;
};

/// Writes one object if its version is still `expected_version`. Version 0
/// creates the object.
struct platform_put {
  std::string kind;
  std::string name;
  std::uint64_t expected_version = 0;
  std::string value;  ///< JSON text.
};

/// Lists all objects of a kind, with the revision of the list.
struct platform_list {
  std::string kind;
};

/// Waits until objects of a kind change after `after_revision`.
struct platform_watch {
  std::string kind;
  std::uint64_t after_revision = 0;
  std::chrono::milliseconds wait{30000};
};

/// Reads the list of live and leaving instances. The list lags.
struct platform_list_instances {};

using platform_operation =
    std::variant<platform_get, platform_put, platform_list, platform_watch,
                 platform_list_instances>;

/// One call to the Object API. The caller chooses `call_id`.
struct platform_call {
  std::uint64_t call_id = 0;
  platform_operation operation;
  std::chrono::milliseconds timeout{1000};
};

/// The result of a call to the platform.
enum class platform_status {
  kOk,
  kNotFound,
  kConflict,     ///< The stored version is not the expected one.
  kGone,         ///< The watched revision is too old; list again.
  kRejected,     ///< The platform rejected the call without effect.
  kUnreachable,  ///< There was no connection, so the call was not received.
  kLost,         ///< No reply; a write may have taken effect.
};

/// One stored object. `version` counts its writes, starting at 1.
struct platform_object {
  std::string kind;
  std::string name;
  std::uint64_t version = 0;
  std::string value;  ///< JSON text.
};

/// One entry of the instance list.
struct platform_instance {
  instance_identity identity;
  std::string data_centre;
  endpoint peers;
  bool leaving = false;
};

/// The reply to the platform_call with the same `call_id`.
struct platform_reply {
  std::uint64_t call_id = 0;
  platform_status status = platform_status::kLost;
  std::uint64_t revision = 0;  ///< Set for list and watch.
  /// Exactly one object for get, put and conflict.
  std::vector<platform_object> objects;
  std::vector<platform_instance> instances;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_PLATFORM_MESSAGES_H_
