#ifndef PAPAYAGLADE_COORDINATION_OBJECT_STORE_H_
#define PAPAYAGLADE_COORDINATION_OBJECT_STORE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "state/control_message.h"
#include "state/versioned_object.h"

namespace papayaglade {

/// Holds the newest known version of each shared object. Versions never
/// decrease.
class object_store {
 public:
  /// Stores `object` and returns true if its version is higher than the stored
  /// one; else changes nothing.
  bool Put(versioned_object object);

  /// Returns null if no version is known.
  const versioned_object* Find(const object_key& key) const;
  /// Returns 0 if no version is known.
  std::uint64_t VersionOf(const object_key& key) const;

  /// Returns a hash of all versions: equal in two stores that hold the same
  /// versions, and most likely different otherwise.
  std::uint64_t Summary() const { return summary_; }

  std::vector<version_entry> Versions() const;

 private:
  std::map<object_key, versioned_object> objects_;
  std::uint64_t summary_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBJECT_STORE_H_
