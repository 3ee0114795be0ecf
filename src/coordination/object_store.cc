#include "coordination/object_store.h"

#include <string>
#include <utility>

#include "coordination/rendezvous.h"

namespace papayaglade {

namespace {

// The summary is the sum of these hashes. It does not depend on the order of
// objects, and a change of one object takes one subtraction and one addition.
std::uint64_t VersionHash(const object_key& key, std::uint64_t version) {
  return RendezvousWeight(ObjectKindName(key.kind) + ("/" + key.name),
                          std::to_string(version));
}

}  // namespace

bool object_store::Put(versioned_object object) {
  versioned_object& held = objects_[object.key];
  if (object.version <= held.version) {
    if (held.version == 0) objects_.erase(object.key);
    return false;
  }
  if (held.version != 0) summary_ -= VersionHash(held.key, held.version);
  summary_ += VersionHash(object.key, object.version);
  held = std::move(object);
  return true;
}

const versioned_object* object_store::Find(const object_key& key) const {
  const auto found = objects_.find(key);
  return found == objects_.end() ? nullptr : &found->second;
}

std::uint64_t object_store::VersionOf(const object_key& key) const {
  const versioned_object* held = Find(key);
  return held == nullptr ? 0 : held->version;
}

std::vector<version_entry> object_store::Versions() const {
  std::vector<version_entry> versions;
  versions.reserve(objects_.size());
  for (const auto& each : objects_) {
    versions.push_back({each.first, each.second.version});
  }
  return versions;
}

}  // namespace papayaglade
