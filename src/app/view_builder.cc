#include "app/view_builder.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "protocol/configuration_codec.h"

namespace papayaglade {

namespace {

constexpr char kCurrentConfiguration[] = "current";

std::optional<object_kind> KindByName(const std::string& name) {
  for (const object_kind kind :
       {object_kind::kConfiguration, object_kind::kSnapshots,
        object_kind::kRoster, object_kind::kOrder}) {
    if (name == ObjectKindName(kind)) return kind;
  }
  return std::nullopt;
}

template <typename Item>
std::optional<std::uint64_t> VersionIn(const std::optional<Item>& item,
                                       std::uint64_t Item::*version) {
  if (!item.has_value()) return std::nullopt;
  return (*item).*version;
}

// Rosters and orders may be created while the platform is unavailable, so the
// version that orders them is part of the value.
std::optional<std::uint64_t> ReadVersion(object_kind kind,
                                         const platform_object& stored) {
  switch (kind) {
    case object_kind::kConfiguration:
      if (stored.name != kCurrentConfiguration) return std::nullopt;
      return VersionIn(ParseConfiguration(stored.value),
                       &configuration::version);
    case object_kind::kSnapshots:
      return stored.version;
    case object_kind::kRoster:
      return VersionIn(ParseRoster(stored.name, stored.value), &roster::epoch);
    case object_kind::kOrder:
      return VersionIn(ParseOrder(stored.name, stored.value),
                       &data_centre_order::generation);
  }
  return std::nullopt;
}

// Replaces the element with the same `name` member as `item`, or adds `item`.
// Returns false if there is no item.
template <typename Item>
bool PutNamed(std::optional<Item> item, std::string Item::*name,
              std::vector<Item>& items) {
  if (!item.has_value()) return false;
  const auto old = std::find_if(
      items.begin(), items.end(),
      [&item, name](const Item& each) { return each.*name == (*item).*name; });
  if (old == items.end()) {
    items.push_back(*std::move(item));
  } else {
    *old = *std::move(item);
  }
  return true;
}

bool PutConfiguration(const std::string& value, cluster_view& view) {
  auto parsed = ParseConfiguration(value);
  if (!parsed.has_value()) return false;
  view.config = std::make_shared<const configuration>(*std::move(parsed));
  return true;
}

}  // namespace

std::optional<versioned_object> ReadSharedObject(
    const platform_object& stored) {
  const auto kind = KindByName(stored.kind);
  if (!kind.has_value()) return std::nullopt;
  const auto version = ReadVersion(*kind, stored);
  if (!version.has_value()) return std::nullopt;
  return versioned_object{{*kind, stored.name}, *version, stored.value};
}

bool PutIntoView(const versioned_object& object, cluster_view& view) {
  const std::string& name = object.key.name;
  switch (object.key.kind) {
    case object_kind::kConfiguration:
      return PutConfiguration(object.value, view);
    case object_kind::kSnapshots:
      return PutNamed(ParseSnapshots(name, object.value),
                      &service_snapshots::service, view.snapshots);
    case object_kind::kRoster:
      return PutNamed(ParseRoster(name, object.value), &roster::data_centre,
                      view.rosters);
    case object_kind::kOrder:
      return PutNamed(ParseOrder(name, object.value),
                      &data_centre_order::data_centre, view.orders);
  }
  return false;
}

}  // namespace papayaglade
