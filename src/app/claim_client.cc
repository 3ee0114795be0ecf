#include "app/claim_client.h"

#include <algorithm>
#include <utility>

#include "protocol/claim_codec.h"

namespace papayaglade {

namespace {

constexpr char kClaimKind[] = "claim";
// Leaves time to read the claim back after a lost answer within the deadline of
// most booking requests.
constexpr std::chrono::milliseconds kMaxCallTimeout{300};

}  // namespace

claim_client::claim_client(platform_port& platform,
                           std::chrono::milliseconds timeout)
    : platform_(platform), timeout_(std::min(timeout, kMaxCallTimeout)) {}

bool claim_client::Write(std::uint64_t query, const write_claim& action) {
  return Call(query,
              platform_put{kClaimKind, action.key, action.expected_version,
                           FormatClaim(action.value)});
}

bool claim_client::Read(std::uint64_t query, const read_claim& action) {
  return Call(query, platform_get{kClaimKind, action.key});
}

std::optional<claim_answer> claim_client::MatchReply(
    const platform_reply& reply) {
  const auto found = query_by_call_.find(reply.call_id);
  if (found == query_by_call_.end()) return std::nullopt;
  claim_answer answer;
  answer.query = found->second;
  IgnoreReply(answer.query);
  answer.reply.status = reply.status;
  if (reply.objects.empty()) return answer;
  const platform_object& stored = reply.objects.front();
  answer.reply.version = stored.version;
  if (stored.value.empty()) return answer;
  answer.reply.has_value = true;
  std::optional<claim> value = ParseClaim(stored.value);
  answer.reply.readable = value.has_value();
  if (value.has_value()) answer.reply.value = *std::move(value);
  return answer;
}

void claim_client::IgnoreReply(std::uint64_t query) {
  const auto found = call_by_query_.find(query);
  if (found == call_by_query_.end()) return;
  query_by_call_.erase(found->second);
  call_by_query_.erase(found);
}

bool claim_client::Call(std::uint64_t query, platform_operation operation) {
  IgnoreReply(query);
  const std::uint64_t call = ++last_call_;
  if (!platform_.CallFromRouter({call, std::move(operation), timeout_})) {
    return false;
  }
  query_by_call_[call] = query;
  call_by_query_[query] = call;
  return true;
}

}  // namespace papayaglade
