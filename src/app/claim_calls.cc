#include "app/claim_calls.h"

#include <algorithm>
#include <utility>

#include "protocol/claim_codec.h"

namespace papayaglade {

namespace {

constexpr char kClaimKind[] = "claim";
// A lost answer must be read back within the deadline of most bookings.
constexpr std::chrono::milliseconds kLongestCall{300};

}  // namespace

claim_calls::claim_calls(platform_port& platform,
                         std::chrono::milliseconds timeout)
    : platform_(platform), timeout_(std::min(timeout, kLongestCall)) {}

bool claim_calls::Write(std::uint64_t query, const write_claim& action) {
  return Call(query,
              platform_put{kClaimKind, action.key, action.expected_version,
                           FormatClaim(action.value)});
}

bool claim_calls::Read(std::uint64_t query, const read_claim& action) {
  return Call(query, platform_get{kClaimKind, action.key});
}

std::optional<claim_answer> claim_calls::Take(const platform_reply& reply) {
  const auto found = query_of_call_.find(reply.call_id);
  if (found == query_of_call_.end()) return std::nullopt;
  claim_answer answer;
  answer.query = found->second;
  Forget(answer.query);
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

void claim_calls::Forget(std::uint64_t query) {
  const auto found = call_of_query_.find(query);
  if (found == call_of_query_.end()) return;
  query_of_call_.erase(found->second);
  call_of_query_.erase(found);
}

bool claim_calls::Call(std::uint64_t query, platform_operation operation) {
  Forget(query);
  const std::uint64_t call = ++last_call_;
  if (!platform_.CallFromRouter({call, std::move(operation), timeout_})) {
    return false;
  }
  query_of_call_[call] = query;
  call_of_query_[query] = call;
  return true;
}

}  // namespace papayaglade
