#ifndef PAPAYAGLADE_STATE_VERSIONED_OBJECT_H_
#define PAPAYAGLADE_STATE_VERSIONED_OBJECT_H_

#include <cstdint>
#include <string>

namespace papayaglade {

/// Kinds of objects of which every instance keeps the newest version.
enum class object_kind { kConfiguration, kSnapshots, kRoster, kOrder };

/// Returns the platform's name of `kind`, such as "configuration".
const char* ObjectKindName(object_kind kind);

/// Identifies one object that all instances share.
struct object_key {
  object_kind kind = object_kind::kConfiguration;
  std::string name;
};

inline bool operator==(const object_key& a, const object_key& b) {
  return a.kind == b.kind && a.name == b.name;
}
inline bool operator<(const object_key& a, const object_key& b) {
  return a.kind != b.kind ? a.kind < b.kind : a.name < b.name;
}

/// One version of a shared object. A higher version replaces a lower one. The
/// version is the configuration's version, the roster's epoch, the order's
/// generation, or the platform's version of a service's snapshots.
struct versioned_object {
  object_key key;
  std::uint64_t version = 0;
  std::string value;  ///< JSON text, as stored in the platform.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_VERSIONED_OBJECT_H_
