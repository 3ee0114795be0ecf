#include "protocol/retry_after.h"

#include <algorithm>
#include <cstdint>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr int kDecimal = 10;
constexpr std::int64_t kMillisecondsInSecond = 1000;
constexpr std::string_view kDigits = "0123456789";

bool IsNumber(std::string_view digits) {
  return !digits.empty() &&
         digits.find_first_not_of(kDigits) == std::string_view::npos;
}

std::int64_t WholeSeconds(std::string_view digits) {
  std::int64_t seconds = 0;
  for (const char each : digits) {
    seconds = std::min<std::int64_t>(kMaxRetryAfter.count(),
                                     kDecimal * seconds + (each - '0'));
  }
  return seconds;
}

// Rounds up, so that nothing is sent before the time is over.
std::int64_t FractionMilliseconds(std::string_view digits) {
  std::int64_t result = 0;
  std::int64_t unit = kMillisecondsInSecond;
  for (const char each : digits) {
    unit /= kDecimal;
    if (unit > 0) {
      result += unit * (each - '0');
    } else if (each != '0') {
      return result + 1;
    }
  }
  return result;
}

}  // namespace

std::optional<milliseconds> ParseRetryAfter(std::string_view text) {
  const std::size_t point = text.find('.');
  const std::string_view whole = text.substr(0, point);
  if (!IsNumber(whole)) return std::nullopt;
  const std::int64_t seconds = WholeSeconds(whole);
  std::int64_t fraction = 0;
  if (point != std::string_view::npos) {
    const std::string_view digits = text.substr(point + 1);
    if (!IsNumber(digits)) return std::nullopt;
    fraction = FractionMilliseconds(digits);
  }
  return std::min<milliseconds>(
      kMaxRetryAfter, milliseconds(kMillisecondsInSecond * seconds + fraction));
}

}  // namespace papayaglade
