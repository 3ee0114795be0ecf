#include "protocol/store_format.h"

namespace papayaglade {

const char* StoredKindName(stored_kind kind) {
  switch (kind) {
    case stored_kind::kConfiguration:
      return "configuration";
    case stored_kind::kUpstreams:
      return "upstreams";
    case stored_kind::kClosedDataCentres:
      return "closed_data_centres";
    case stored_kind::kInstances:
      return "instances";
  }
  return "unknown";
}

}  // namespace papayaglade
