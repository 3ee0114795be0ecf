#ifndef PAPAYAGLADE_PROTOCOL_STORE_FORMAT_H_
#define PAPAYAGLADE_PROTOCOL_STORE_FORMAT_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/entry_wire_format.h"
#include "protocol/fault.h"
#include "state/route.h"
#include "state/store_position.h"
#include "state/stored_kind.h"
#include "state/upstream_record.h"

namespace papayaglade {

/// Returns the name of `kind` for logs, such as "upstreams".
const char* StoredKindName(stored_kind kind);

/// One object of the store, or its deletion.
struct stored_object {
  std::string name;
  bool deleted = false;
  /// Null if the object is unreadable.
  nlohmann::json content{};
  /// Why the object cannot be read; empty if it can.
  std::string unreadable{};
};

/// The reply to a list or a watch.
struct store_page {
  std::vector<stored_object> objects;
  /// Where to watch from. The era is that of the answer, not of its body, so
  /// decoding the body leaves it out.
  store_position position;
  /// True if a list is incomplete: list again after the last name.
  bool has_more = false;
  /// Name of the last entry, also if that entry is left out; empty if no name
  /// can be read.
  std::string last_name;
  /// Number of entries that are left out, because their name cannot be read.
  std::size_t unnamed = 0;
};

/// The format of the store's calls and objects.
class store_format {
 public:
  virtual ~store_format() = default;

  /// Returns the HTTP request that lists objects with names after `after`. With
  /// `stale_allowed` the reply may be out of date.
  virtual std::string FormatListRequest(stored_kind kind,
                                        const std::string& after,
                                        bool stale_allowed) const = 0;
  /// Returns the HTTP request that waits up to `wait` for changes after
  /// `revision`.
  virtual std::string FormatWatchRequest(
      stored_kind kind, std::int64_t revision,
      std::chrono::milliseconds wait) const = 0;
  virtual std::string FormatCreateRequest(
      stored_kind kind, const stored_object& object) const = 0;
  virtual std::string FormatDeleteRequest(stored_kind kind,
                                          const std::string& name) const = 0;

  /// Returns the era in which the store gave an answer, whatever its status, or
  /// kNoEra if the answer names none that can be read.
  virtual std::int64_t DecodeEra(const upstream_message& answer) const = 0;
  /// Decodes the reply to a list of objects of `kind`. Returns std::nullopt if
  /// it is malformed as a whole; a malformed object does not affect the others.
  virtual std::optional<store_page> DecodeList(
      stored_kind kind, const std::string& body) const = 0;
  /// Decodes the reply to a watch in the same way.
  virtual std::optional<store_page> DecodeEvents(
      stored_kind kind, const std::string& body) const = 0;

  /// Returns std::nullopt and adds faults if the configuration is invalid.
  virtual std::optional<tier_configuration> DecodeConfiguration(
      const stored_object& object, fault_list& faults) const = 0;
  /// Returns std::nullopt and adds faults if `object` does not describe an
  /// upstream.
  virtual std::optional<upstream_record> DecodeUpstream(
      const stored_object& object, fault_list& faults) const = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_STORE_FORMAT_H_
