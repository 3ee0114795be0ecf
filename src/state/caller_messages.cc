#include "state/caller_messages.h"

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

}  // namespace papayaglade
