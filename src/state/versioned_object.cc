#include "state/versioned_object.h"

namespace papayaglade {

const char* ObjectKindName(object_kind kind) {
  switch (kind) {
    case object_kind::kConfiguration:
      return "configuration";
    case object_kind::kSnapshots:
      return "snapshots";
    case object_kind::kRoster:
      return "roster";
    case object_kind::kOrder:
      return "order";
  }
  return "";
}

}  // namespace papayaglade
