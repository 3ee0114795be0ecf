#include "coordination/route_table.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

std::string ToLowerCase(std::string_view text) {
  std::string result(text);
  std::transform(result.begin(), result.end(), result.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return result;
}

std::string_view WithoutPort(std::string_view host) {
  return host.substr(0, host.rfind(':'));
}

}  // namespace

route_table::route_table(
    std::shared_ptr<const tier_configuration> configuration)
    : configuration_(std::move(configuration)) {
  for (const route& each : configuration_->routes) {
    routes_by_host_[ToLowerCase(each.host)][each.path_prefix] = &each;
  }
}

const route* route_table::Find(std::string_view host,
                               std::string_view target) const {
  const auto found = routes_by_host_.find(ToLowerCase(WithoutPort(host)));
  if (found == routes_by_host_.end()) return nullptr;
  std::string_view path = target.substr(0, target.find('?'));
  // Prefixes end with a slash, so only the parent folders of the path can
  // match.
  for (auto slash = path.rfind('/'); slash != std::string_view::npos;
       slash = path.rfind('/')) {
    path = path.substr(0, slash + 1);
    const auto match = found->second.find(path);
    if (match != found->second.end()) return match->second;
    path.remove_suffix(1);
  }
  return nullptr;
}

}  // namespace papayaglade
