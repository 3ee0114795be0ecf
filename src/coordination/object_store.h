#ifndef PAPAYAGLADE_COORDINATION_OBJECT_STORE_H_
#define PAPAYAGLADE_COORDINATION_OBJECT_STORE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "state/control_message.h"
#include "state/versioned_object.h"

namespace papayaglade {

/// The newest version seen of each shared object; versions only go up.
class object_store {
 public:
  /// False, with nothing changed, unless `object` is above what is held.
  bool Put(versioned_object object);

  /// Nothing when no version was seen.
  const versioned_object* Find(const object_key& key) const;
  /// 0 when no version was seen.
  std::uint64_t VersionOf(const object_key& key) const;

  /// Equal in two stores that hold the same versions, else most likely not.
  std::uint64_t Summary() const { return summary_; }

  std::vector<version_entry> Versions() const;

 private:
  std::map<object_key, versioned_object> objects_;
  std::uint64_t summary_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_OBJECT_STORE_H_
