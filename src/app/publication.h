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

/// The configuration is in force with this version.
struct publication_accepted {
  std::uint64_t version = 0;
};

/// The publication failed. Nothing was changed, except that with
/// kOutcomeUnknown the configuration may or may not have been in force.
struct publication_refused {
  error cause;
};

using publication_outcome =
    std::variant<publication_accepted, publication_refused>;

/// Publishes a configuration by conditional updates of the stored object. If an
/// answer is lost, the publication id in the stored object shows whether the
/// update took effect.
class publication {
 public:
  explicit publication(blocking_platform& platform);

  /// Publishes `wanted` in place of the configuration in force. Services that
  /// this removes must be named in `removals`. `fleet_version` is the highest
  /// version in force on any instance. Instances never go back to a lower
  /// version, so if the platform was restored with a lower version, the
  /// configuration is written repeatedly until its version is above
  /// `fleet_version`.
  publication_outcome Run(configuration wanted,
                          const std::vector<std::string>& removals,
                          std::uint64_t fleet_version);

 private:
  publication_outcome Write();
  /// Writes wanted_ over the version of base_.
  publication_outcome WriteVersion();
  /// Reads the stored configuration to determine whether a write took effect.
  publication_outcome DetermineOutcome();
  publication_refused Conflict(const configuration& theirs) const;

  blocking_platform& platform_;
  configuration base_;
  configuration wanted_;
  std::uint64_t fleet_version_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_PUBLICATION_H_
