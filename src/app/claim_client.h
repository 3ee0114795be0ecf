#ifndef PAPAYAGLADE_APP_CLAIM_CLIENT_H_
#define PAPAYAGLADE_APP_CLAIM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "coordination/ports.h"
#include "coordination/query_action.h"

namespace papayaglade {

/// The platform's reply about the claim of an open request.
struct claim_answer {
  std::uint64_t query = 0;
  claim_reply reply;
};

/// Sends reads and writes of claims to the platform and matches the replies to
/// the requests. A request has at most one open call.
class claim_client {
 public:
  claim_client(platform_port& platform, std::chrono::milliseconds timeout);

  /// Starts a write. Returns false if the call was not made; nothing was
  /// written then.
  bool Write(std::uint64_t query, const write_claim& action);
  /// Starts a read. Returns false if the call was not made.
  bool Read(std::uint64_t query, const read_claim& action);

  /// Returns the claim's reply, or nothing if the call was given up.
  std::optional<claim_answer> MatchReply(const platform_reply& reply);
  /// Gives up the open call of a request, if any: its reply will be ignored.
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
