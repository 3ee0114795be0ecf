#include "protocol/caller_codec.h"

#include <catch2/catch.hpp>

namespace papayaglade {

namespace {

error ParseFailure(const std::string& body) {
  const auto parsed = ParseCallerRequest(body);
  REQUIRE(std::holds_alternative<error>(parsed));
  return std::get<error>(parsed);
}

}  // namespace

TEST_CASE("an error names the invalid field and a remedy") {
  struct bad_input {
    const char* body;
    const char* field;
  };
  const bad_input inputs[] = {
      {"{", ""},
      {"[]", ""},
      {R"({"query": "x"})", "/workload"},
      {R"({"workload": 5, "query": "x"})", "/workload"},
      {R"({"workload": "w", "query": "x", "deadline_ms": "1"})",
       "/deadline_ms"},
      {R"({"workload": "w", "query": "x", "deadline_ms": 0})", "/deadline_ms"},
      {R"({"workload": "w", "query": "x", "minimum_coverage": 2})",
       "/minimum_coverage"},
      {R"({"workload": "w", "query": "x", "wrokload": "w"})", "/wrokload"},
      {R"({"workload": "", "query": "x"})", "/workload"},
  };
  for (const bad_input& each : inputs) {
    INFO(each.body);
    const error cause = ParseFailure(each.body);
    CHECK(cause.field == each.field);
    CHECK_FALSE(cause.remedy.empty());
    CHECK(FormatCallerError(cause).status == 400);
  }
}

TEST_CASE("each outcome has its HTTP status and a well-formed account") {
  account details;
  details.request_id = "quo\"ted\n\x01";
  details.coverage = 0.5;
  details.shards.push_back({"s\xff", shard_outcome::kLate,
                            shard_reason::kDeadline, "u", 2,
                            std::chrono::microseconds(7)});
  const error cause{error_kind::kUnavailable, "", "m", "r"};
  CHECK(FormatCallerOutcome(not_run{cause, details}).status == 503);
  CHECK(FormatCallerOutcome(outcome_unknown{cause, details}).status == 504);
  CHECK(FormatCallerOutcome(below_coverage{cause, details}).status == 422);
  const http_response response =
      FormatCallerOutcome(answered{{{"k", 1.5, "t"}}, details});
  CHECK(response.status == 200);
  const auto body = nlohmann::json::parse(response.body);
  CHECK(body.at("outcome") == "answered");
  CHECK(body.at("hits").at(0).at("score") == 1.5);
  const auto& line = body.at("account").at("shards").at(0);
  CHECK(line.at("outcome") == "late");
  CHECK(line.at("attempts") == 2);
  CHECK(body.at("account").at("request_id") == details.request_id);
}

}  // namespace papayaglade
