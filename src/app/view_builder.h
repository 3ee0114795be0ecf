#ifndef PAPAYAGLADE_APP_VIEW_BUILDER_H_
#define PAPAYAGLADE_APP_VIEW_BUILDER_H_

#include <optional>

#include "state/cluster_view.h"
#include "state/platform_messages.h"
#include "state/versioned_object.h"

namespace papayaglade {

/// Reads an object of the platform with the version that orders it; nothing
/// when it is of no shared kind or malformed.
std::optional<versioned_object> ReadSharedObject(const platform_object& stored);

/// Puts `object` into `view` in place of its lower version; false, with the
/// view unchanged, when its value is malformed.
bool PutIntoView(const versioned_object& object, cluster_view& view);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_VIEW_BUILDER_H_
