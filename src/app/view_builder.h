#ifndef PAPAYAGLADE_APP_VIEW_BUILDER_H_
#define PAPAYAGLADE_APP_VIEW_BUILDER_H_

#include <optional>

#include "state/cluster_view.h"
#include "state/platform_messages.h"
#include "state/versioned_object.h"

namespace papayaglade {

/// Decodes an object of the platform together with the version that orders it.
/// Returns nothing if the object is malformed or not of a shared kind.
std::optional<versioned_object> ReadSharedObject(const platform_object& stored);

/// Adds `object` to `view` or replaces its previous version. Returns false and
/// leaves the view unchanged if the value is malformed.
bool PutIntoView(const versioned_object& object, cluster_view& view);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_VIEW_BUILDER_H_
