#ifndef PAPAYAGLADE_PROTOCOL_RETRY_AFTER_H_
#define PAPAYAGLADE_PROTOCOL_RETRY_AFTER_H_

#include <chrono>
#include <optional>
#include <string_view>

namespace papayaglade {

/// Longer waits are taken for this one, so that no upstream is lost for good.
inline constexpr std::chrono::seconds kMaxRetryAfter{300};

/// Parses the value of a Retry-After header in seconds, such as "2" or "0.25".
/// The result is rounded up to milliseconds and is at most kMaxRetryAfter.
/// Returns nullopt for anything else, such as a date or a negative number.
std::optional<std::chrono::milliseconds> ParseRetryAfter(std::string_view text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_RETRY_AFTER_H_
