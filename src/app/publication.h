#ifndef PAPAYAGLADE_APP_PUBLICATION_H_
#define PAPAYAGLADE_APP_PUBLICATION_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "coordination/blocking_platform.h"
#include "state/configuration.h"
#include "state/error.h"

namespace papayaglade {

/// The configuration is in force from this version on.
struct publication_accepted {
  std::uint64_t version = 0;
};

/// Nothing was changed; with kOutcomeUnknown it cannot be told.
struct publication_refused {
  error cause;
};

using publication_outcome =
    std::variant<publication_accepted, publication_refused>;

/// Puts one configuration into force by conditional updates, and settles lost
/// answers by the publication id.
class publication {
 public:
  explicit publication(blocking_platform& platform);

  /// Publishes `wanted` over the configuration read at the start. Services
  /// that would go must be named in `removals`. `fleet_version` is the highest
  /// version that an instance goes by; a platform restored with less is
  /// written to until it is above that, because instances never step back.
  publication_outcome Run(configuration wanted,
                          const std::vector<std::string>& removals,
                          std::uint64_t fleet_version);

 private:
  publication_outcome Write();
  publication_outcome WriteVersion();
  publication_outcome DetermineOutcome();
  publication_refused Conflict(const configuration& theirs) const;

  blocking_platform& platform_;
  configuration base_;
  configuration wanted_;
  std::uint64_t fleet_version_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_PUBLICATION_H_
