#include <tclap/CmdLine.h>

#include <iomanip>
#include <iostream>

#include "app/address_arguments.h"
#include "app/command.h"
#include "app/operator_call.h"

namespace papayaglade {

namespace {

constexpr int kShardWidth = 24;
constexpr int kOutcomeWidth = 10;
constexpr int kReasonWidth = 18;

// Prints a summary of the request and one line for each shard.
void PrintAccount(const nlohmann::json& answer) {
  const nlohmann::json& account =
      answer.contains("account") ? answer.at("account") : answer;
  std::cout << "request  " << account.value("request_id", "") << "\n"
            << "workload " << account.value("workload", "") << "\n"
            << "outcome  " << answer.value("outcome", "") << "\n"
            << "snapshot " << account.value("snapshot", 0ULL) << "\n"
            << "coverage " << account.value("coverage", 0.0) << "\n"
            << "retries  " << account.value("retries", 0) << "  hedges "
            << account.value("hedges", 0) << "  restarts "
            << account.value("restarts", 0) << "\n";
  if (!account.contains("shards")) return;
  for (const nlohmann::json& shard : account.at("shards")) {
    std::cout << std::left << std::setw(kShardWidth) << shard.value("shard", "")
              << std::setw(kOutcomeWidth) << shard.value("outcome", "")
              << std::setw(kReasonWidth) << shard.value("reason", "")
              << shard.value("upstream", "") << "  attempts "
              << shard.value("attempts", 0) << "  "
              << shard.value("time_us", 0LL) << " us\n";
  }
}

}  // namespace

exit_code RunExplain(std::vector<std::string>& arguments) {
  TCLAP::CmdLine line(
      "Shows which shards answered a recent request, which did not, and why.",
      ' ', kVersionText);
  const address_arguments operators(
      line, "operators", "the operators' port of the instance", true);
  TCLAP::SwitchArg json("", "json", "print the account as JSON", line);
  TCLAP::UnlabeledValueArg<std::string> id(
      "id", "the request_id in the caller's answer", true, "", "REQUEST-ID",
      line);
  line.parse(arguments);
  exit_code code = exit_code::kDone;
  const auto body = CallOperatorsPort(
      operators.Value(),
      {"GET", "/explain?id=" + EscapeTarget(id.getValue()), "", ""}, code);
  if (!body.has_value()) return code;
  if (json.getValue()) {
    std::cout << body->dump() << "\n";
  } else {
    PrintAccount(*body);
  }
  return exit_code::kDone;
}

}  // namespace papayaglade
