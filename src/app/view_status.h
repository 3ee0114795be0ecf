#ifndef PAPAYAGLADE_APP_VIEW_STATUS_H_
#define PAPAYAGLADE_APP_VIEW_STATUS_H_

#include <nlohmann/json_fwd.hpp>

#include "state/cluster_view.h"

namespace papayaglade {

/// Adds the configuration version, rosters and orders of `view` to the
/// operators' status object.
void DescribeView(const cluster_view& view, nlohmann::json& status);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_VIEW_STATUS_H_
