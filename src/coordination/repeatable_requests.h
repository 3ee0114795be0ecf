#ifndef PAPAYAGLADE_COORDINATION_REPEATABLE_REQUESTS_H_
#define PAPAYAGLADE_COORDINATION_REPEATABLE_REQUESTS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "state/time.h"

namespace papayaglade {

/// The requests that one connection has carried and that may be sent to the
/// same upstream again, because it has rejected or failed them.
class repeatable_requests {
 public:
  static constexpr std::size_t kCapacity = 256;

  /// Adds the request `id`, which is not sent again after `until`, and forgets
  /// those whose time is over. Returns false if there are too many.
  bool Add(const std::string& id, monotonic_time until, monotonic_time now);

  /// Returns whether the connection has carried the request `id`.
  bool Contains(const std::string& id) const;

 private:
  struct entry {
    std::string id;
    monotonic_time until;
  };

  std::vector<entry> entries_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_REPEATABLE_REQUESTS_H_
