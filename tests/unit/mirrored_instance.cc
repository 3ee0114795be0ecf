#include "mirrored_instance.h"

#include <algorithm>
#include <catch2/catch.hpp>

namespace papayaglade {

mirrored_instance::mirrored_instance(loop_context& loop, const endpoint& store,
                                     const std::string& name, bool sharing,
                                     std::vector<std::string> seeds)
    : log_(loop), links_(loop) {
  entry_settings settings;
  settings.name = name;
  settings.data_centre = "kigali";
  settings.control = control;
  settings.store = store;
  settings.seeds = std::move(seeds);
  store_mirror::handlers handlers;
  handlers.on_changes = [this](stored_kind kind, const auto& objects) {
    change_count += objects.size();
    if (kind == stored_kind::kUpstreams) UpdateUpstreams(objects);
    for (const stored_object& each : objects) {
      if (!each.deleted) received.insert({kind, each.name});
    }
  };
  handlers.on_members = [this](const auto& reported) { members = reported; };
  handlers.on_upstreams_confirmed = [this](monotonic_time time) {
    confirmed_at = time;
  };
  handlers.on_store_unavailable = [this](monotonic_time time) {
    unavailable_at = time;
  };
  mirror = std::make_unique<store_mirror>(
      loop, format_, log_, era, links_, settings, sharing, std::move(handlers));
  REQUIRE(mirror->Start().empty());
}

fleet_member mirrored_instance::Member(const std::string& name) const {
  return {name, "kigali", control, 0};
}

std::string mirrored_instance::SeedText() const {
  return control.address + ":" + std::to_string(control.port);
}

void mirrored_instance::UpdateUpstreams(
    const std::vector<stored_object>& objects) {
  for (const stored_object& each : objects) {
    confirmed_before[each.name] = confirmed_at;
    if (each.deleted) {
      upstreams.erase(each.name);
    } else {
      upstreams.insert(each.name);
    }
  }
}

bool AllKnow(const instance_list& instances,
             const std::set<std::string>& upstreams) {
  return std::all_of(instances.begin(), instances.end(), [&](const auto& each) {
    return each->mirror->Complete() && each->upstreams == upstreams;
  });
}

instance_list MakeInstances(loop_context& loop, const endpoint& store,
                            std::size_t size) {
  instance_list instances;
  std::vector<fleet_member> members;
  for (std::size_t i = 0; i < size; ++i) {
    const std::string name = "entry-" + std::to_string(i);
    instances.push_back(
        std::make_unique<mirrored_instance>(loop, store, name, true));
    members.push_back(instances.back()->Member(name));
  }
  for (const auto& each : instances) each->mirror->SetMembers(members);
  return instances;
}

}  // namespace papayaglade
