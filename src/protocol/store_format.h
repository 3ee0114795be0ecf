#ifndef PAPAYAGLADE_PROTOCOL_STORE_FORMAT_H_
#define PAPAYAGLADE_PROTOCOL_STORE_FORMAT_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "protocol/fault.h"
#include "state/route.h"
#include "state/stored_kind.h"
#include "state/upstream_record.h"

namespace papayaglade {

const char* StoredKindName(stored_kind kind);

/// One object, or that it is gone.
struct stored_object {
  std::string name;
  bool deleted = false;
  nlohmann::json content;
};

/// An answer to a list or a watch.
struct store_page {
  std::vector<stored_object> objects;
  std::int64_t revision = 0;  ///< To watch from.
  bool has_more = false;      ///< Of a list: ask again after the last name.
};

/// How the store's calls and objects are spelled.
class store_format {
 public:
  virtual ~store_format() = default;

  virtual std::string FormatListRequest(stored_kind kind,
                                        const std::string& after,
                                        bool stale_allowed) const = 0;
  virtual std::string FormatWatchRequest(
      stored_kind kind, std::int64_t revision,
      std::chrono::milliseconds wait) const = 0;
  virtual std::string FormatCreateRequest(
      stored_kind kind, const stored_object& object) const = 0;
  virtual std::string FormatDeleteRequest(stored_kind kind,
                                          const std::string& name) const = 0;

  virtual std::optional<store_page> DecodeList(
      const std::string& body) const = 0;
  virtual std::optional<store_page> DecodeEvents(
      const std::string& body) const = 0;

  /// Faults are added for what cannot be used; nothing is returned then.
  virtual std::optional<tier_configuration> DecodeConfiguration(
      const stored_object& object, fault_list& faults) const = 0;
  virtual std::optional<upstream_record> DecodeUpstream(
      const stored_object& object) const = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_STORE_FORMAT_H_
