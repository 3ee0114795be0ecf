#ifndef PAPAYAGLADE_APP_CLAIM_CLIENT_H_
#define PAPAYAGLADE_APP_CLAIM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "coordination/ports.h"
#include "coordination/query_action.h"

namespace papayaglade {

/// The platform's answer about the claim of one open request.
struct claim_answer {
  std::uint64_t query = 0;
  claim_reply reply;
};

/// Carries reads and writes of claims to the platform and matches the replies.
class claim_client {
 public:
  claim_client(platform_port& platform, std::chrono::milliseconds timeout);

  /// False when the call was not made; then nothing was written.
  bool Write(std::uint64_t query, const write_claim& action);
  bool Read(std::uint64_t query, const read_claim& action);

  /// Nothing when the reply is to a call that was given up.
  std::optional<claim_answer> MatchReply(const platform_reply& reply);
  /// Ignores the reply to the request's open call, if any.
  void IgnoreReply(std::uint64_t query);

 private:
  bool Call(std::uint64_t query, platform_operation operation);

  platform_port& platform_;
  std::chrono::milliseconds timeout_;
  std::uint64_t last_call_ = 0;
  std::unordered_map<std::uint64_t, std::uint64_t> query_by_call_;
  std::unordered_map<std::uint64_t, std::uint64_t> call_by_query_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_CLAIM_CLIENT_H_
