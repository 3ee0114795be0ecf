#include "coordination/steward_standing.h"

namespace papayaglade {

void steward_standing::Update(const standing_update& update) {
  roster_epoch_ = update.roster_epoch;
  proven_until_ = update.proven_until;
  upstreams_ = {update.upstreams.begin(), update.upstreams.end()};
  fenced_ = {update.fenced.begin(), update.fenced.end()};
  fenced_until_ = update.fenced_until;
}

bool steward_standing::IsSteward(const std::string& upstream) const {
  return upstreams_.count(upstream) != 0;
}

bool steward_standing::IsFenced(const std::string& upstream,
                                monotonic_time now) const {
  return now < fenced_until_ && fenced_.count(upstream) != 0;
}

}  // namespace papayaglade
