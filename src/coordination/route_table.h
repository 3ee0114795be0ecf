#ifndef PAPAYAGLADE_COORDINATION_ROUTE_TABLE_H_
#define PAPAYAGLADE_COORDINATION_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "state/route.h"

namespace papayaglade {

/// Finds the route of a request by its host and its longest matching path
/// prefix.
class route_table {
 public:
  explicit route_table(std::shared_ptr<const tier_configuration> configuration);

  /// Returns the matching route, or null if there is none. `host` may include a
  /// port, `target` a query. The result is valid as long as the configuration.
  const route* Find(std::string_view host, std::string_view target) const;

  const std::shared_ptr<const tier_configuration>& Configuration() const {
    return configuration_;
  }

 private:
  /// Routes of one host by path prefix.
  using routes_by_prefix = std::map<std::string, const route*, std::less<>>;

  std::shared_ptr<const tier_configuration> configuration_;
  std::map<std::string, routes_by_prefix, std::less<>> routes_by_host_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ROUTE_TABLE_H_
