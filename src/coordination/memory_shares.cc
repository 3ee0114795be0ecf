#include "coordination/memory_shares.h"

#include <algorithm>

namespace papayaglade {

namespace {

// The program, its connections, and its copy of the store.
constexpr std::size_t kBaseBytes = 48UL * 1000 * 1000;
// A process keeps this much for its callers, however little memory it has.
constexpr std::size_t kMinCallerBytes = 16UL * 1000 * 1000;
// A body stands in memory twice while it is passed on, so twice the share of
// requests and those of the answers make up the whole.
constexpr double kRequestShare = 0.2;
constexpr double kUnreadShare = 0.45;
constexpr double kUnreadShareToRun = 0.3;
constexpr double kAnswerShare = 0.15;

std::size_t ShareOf(std::size_t bytes, double share) {
  return static_cast<std::size_t>(share * static_cast<double>(bytes));
}

}  // namespace

memory_shares ShareMemory(std::size_t memory_bytes) {
  const std::size_t rest =
      std::max(memory_bytes, kBaseBytes + kMinCallerBytes) - kBaseBytes;
  memory_shares shares;
  shares.requests = ShareOf(rest, kRequestShare);
  shares.unread_answers_to_run = ShareOf(rest, kUnreadShareToRun);
  shares.unread_answers = ShareOf(rest, kUnreadShare);
  shares.answers = ShareOf(rest, kAnswerShare);
  return shares;
}

}  // namespace papayaglade
