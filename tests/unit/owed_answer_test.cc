#include "app/owed_answer.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;
using std::chrono::system_clock;

}  // namespace

// Guards against a record that does not tell who ended a request, when it was
// read and what it waited for.
TEST_CASE("the line about an owed answer tells who ended it and what it awaits",
          "[log]") {
  owed_answer owed;
  owed.request = "a1";
  owed.route = "pull";
  owed.age = milliseconds(1300);
  owed.stopping = milliseconds(5580);
  owed.waits_for = awaited::kAnswer;
  owed.open_legs = {"archive/i-17"};
  const system_clock::time_point now{milliseconds(10000)};
  CHECK(OwedAnswerLine("unanswered", owed, "stopping", now).Text() ==
        "event=unanswered request=a1 route=pull by=stopping read=8700 ms=1300 "
        "stopping_ms=5580 waits_for=answer open_legs=1 upstreams=archive/i-17");
}

TEST_CASE("the line about a fan-out names the first of its open legs",
          "[log]") {
  owed_answer owed;
  for (int i = 0; i < 6; ++i)
    owed.open_legs.push_back("shard-" + std::to_string(i) + "/-");
  const std::string text =
      OwedAnswerLine("in_progress", owed, "", system_clock::time_point())
          .Text();
  CHECK(text.find(" by=") == std::string::npos);
  CHECK(text.find("stopping_ms=-1 waits_for=capacity open_legs=6 "
                  "upstreams=shard-0/-,shard-1/-,shard-2/-,shard-3/-") !=
        std::string::npos);
  CHECK(text.find("shard-4") == std::string::npos);
}

}  // namespace papayaglade
