#include "protocol/retry_after.h"

#include <catch2/catch.hpp>
#include <string>

namespace papayaglade {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a number of seconds is a time to wait", "[retry_after]") {
  CHECK(ParseRetryAfter("0") == milliseconds(0));
  CHECK(ParseRetryAfter("2") == seconds(2));
  CHECK(ParseRetryAfter("007") == seconds(7));
  CHECK(ParseRetryAfter("0.25") == milliseconds(250));
  CHECK(ParseRetryAfter("1.5") == milliseconds(1500));
  CHECK(ParseRetryAfter("1.0000") == seconds(1));
  // Rounded up, so that nothing is sent too early.
  CHECK(ParseRetryAfter("0.0001") == milliseconds(1));
  CHECK(ParseRetryAfter("1.9999") == seconds(2));
}

// Guards against an upstream that is lost for good, and against an overflow.
TEST_CASE("a time to wait is bounded", "[retry_after]") {
  CHECK(ParseRetryAfter("300") == kMaxRetryAfter);
  CHECK(ParseRetryAfter("300.5") == kMaxRetryAfter);
  CHECK(ParseRetryAfter("301") == kMaxRetryAfter);
  CHECK(ParseRetryAfter("9223372036854775807") == kMaxRetryAfter);
  CHECK(ParseRetryAfter(std::string(60000, '9')) == kMaxRetryAfter);
  CHECK(ParseRetryAfter("0." + std::string(60000, '9')) == seconds(1));
}

TEST_CASE("anything else is no time to wait", "[retry_after]") {
  for (const char* text :
       {"", " ", "-1", "+1", "1e9", "0x10", "inf", "nan", "soon", "1 2", "1,2",
        "1.", ".5", "1.2.3", "1;2", "2s", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
    CAPTURE(text);
    CHECK_FALSE(ParseRetryAfter(text).has_value());
  }
}

}  // namespace papayaglade
