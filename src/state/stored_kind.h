#ifndef PAPAYAGLADE_STATE_STORED_KIND_H_
#define PAPAYAGLADE_STATE_STORED_KIND_H_

#include <array>
#include <cstddef>

namespace papayaglade {

/// The kinds of objects in the store.
enum class stored_kind {
  kConfiguration,
  kUpstreams,
  kClosedDataCentres,
  kInstances,
};

/// The kinds of which every instance keeps a copy.
constexpr std::array<stored_kind, 3> kMirroredKinds = {
    stored_kind::kConfiguration, stored_kind::kUpstreams,
    stored_kind::kClosedDataCentres};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_STORED_KIND_H_
