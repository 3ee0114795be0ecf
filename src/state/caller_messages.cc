#include "state/caller_messages.h"

#include "state/overloaded.h"

namespace papayaglade {

const char* ShardOutcomeName(shard_outcome outcome) {
  switch (outcome) {
    case shard_outcome::kAnswered:
      return "answered";
    case shard_outcome::kNotAsked:
      return "not_asked";
    case shard_outcome::kLate:
      return "late";
    case shard_outcome::kRefused:
      return "refused";
    case shard_outcome::kLost:
      return "lost";
  }
  return "unknown";
}

const char* CallerOutcomeName(const caller_outcome& outcome) {
  return std::visit(
      overloaded{
          [](const answered& /*each*/) { return "answered"; },
          [](const not_run& /*each*/) { return "not_run"; },
          [](const outcome_unknown& /*each*/) { return "unknown"; },
          [](const below_coverage& /*each*/) { return "below_coverage"; },
      },
      outcome);
}

}  // namespace papayaglade
