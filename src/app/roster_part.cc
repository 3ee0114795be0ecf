#include "app/roster_part.h"

#include <algorithm>
#include <utility>

#include "protocol/configuration_codec.h"

namespace papayaglade {

roster_part::roster_part(control_context& context) : context_(context) {}

void roster_part::OnTick(monotonic_time now) {
  const cluster_view& view = context_.View();
  if (view.config == nullptr || writing_) return;
  roster own;
  own.data_centre = context_.Settings().data_centre;
  for (const roster& each : view.rosters) {
    if (each.data_centre == own.data_centre) own = each;
  }
  const bool listed = std::any_of(own.members.begin(), own.members.end(),
                                  [this](const roster_member& each) {
                                    return each.identity == context_.Self();
                                  });
  if (listed) SendStanding(own, now);
  if (listed && own.assignments.size() == OwnUpstreams().size()) return;
  Write(own, own.epoch);
}

void roster_part::Write(const roster& base, std::uint64_t version) {
  roster next = base;
  const instance_identity& self = context_.Self();
  next.members.erase(std::remove_if(next.members.begin(), next.members.end(),
                                    [&self](const roster_member& each) {
                                      return each.identity.name == self.name;
                                    }),
                     next.members.end());
  const instance_settings& settings = context_.Settings();
  next.members.push_back({self, settings.peers, settings.operators});
  next.assignments.clear();
  const std::vector<std::string> upstreams = OwnUpstreams();
  for (std::size_t i = 0; i < upstreams.size(); ++i) {
    const roster_member& steward = next.members[i % next.members.size()];
    next.assignments.push_back({upstreams[i], steward.identity.name});
  }
  next.epoch = version + 1;
  writing_ = true;
  const std::string value = FormatRoster(next);
  context_.CallPlatform(
      platform_put{"roster", next.data_centre, version, value},
      [this, next, value](const platform_reply& reply) {
        writing_ = false;
        const object_key key{object_kind::kRoster, next.data_centre};
        if (reply.status == platform_status::kOk) {
          context_.Offer({key, next.epoch, value});
        } else if (!reply.objects.empty()) {
          const platform_object& stored = reply.objects.front();
          context_.Offer({key, stored.version, stored.value});
        }
      });
}

void roster_part::SendStanding(const roster& own, monotonic_time now) {
  standing_update standing;
  standing.roster_epoch = own.epoch;
  standing.proven_until = now + context_.Settings().coordination.lease;
  for (const steward_assignment& each : own.assignments) {
    if (each.steward != context_.Self().name) continue;
    standing.upstreams.push_back(each.upstream);
  }
  context_.SendToStewards(standing);
}

std::vector<std::string> roster_part::OwnUpstreams() const {
  std::vector<std::string> upstreams;
  for (const service_definition& service : context_.View().config->services) {
    for (const upstream_definition& upstream : service.upstreams) {
      if (upstream.data_centre != context_.Settings().data_centre) continue;
      upstreams.push_back(upstream.name);
    }
  }
  return upstreams;
}

}  // namespace papayaglade
