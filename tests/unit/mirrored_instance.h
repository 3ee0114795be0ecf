#ifndef PAPAYAGLADE_TESTS_UNIT_MIRRORED_INSTANCE_H_
#define PAPAYAGLADE_TESTS_UNIT_MIRRORED_INSTANCE_H_

#include <cstddef>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "app/store_mirror.h"
#include "platform/platform_store_format.h"
#include "store_standin.h"

namespace papayaglade {

/// The store mirror of one instance, and what it has reported.
class mirrored_instance {
 public:
  mirrored_instance(loop_context& loop, const endpoint& store,
                    const std::string& name, bool sharing,
                    std::vector<std::string> seeds = {});

  fleet_member Member(const std::string& name) const;
  std::string SeedText() const;

  endpoint control = FindFreeEndpoint();
  store_era era;
  std::unique_ptr<store_mirror> mirror;
  std::set<std::string> upstreams;
  std::set<std::pair<stored_kind, std::string>> received;
  /// How often an object has changed.
  std::size_t change_count = 0;
  std::vector<fleet_member> members;
  /// When the upstreams were confirmed last.
  std::optional<monotonic_time> confirmed_at;
  /// The value of `confirmed_at` as an upstream changed last.
  std::map<std::string, std::optional<monotonic_time>> confirmed_before;
  /// When the store was found unavailable last.
  std::optional<monotonic_time> unavailable_at;

 private:
  void UpdateUpstreams(const std::vector<stored_object>& objects);

  platform::platform_store_format format_;
  structured_log log_;
  instance_links links_;
};

using instance_list = std::vector<std::unique_ptr<mirrored_instance>>;

/// Returns whether all instances have complete copies with these upstreams.
bool AllKnow(const instance_list& instances,
             const std::set<std::string>& upstreams);

/// Returns instances that know each other, two of which watch the store.
instance_list MakeInstances(loop_context& loop, const endpoint& store,
                            std::size_t size);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_MIRRORED_INSTANCE_H_
