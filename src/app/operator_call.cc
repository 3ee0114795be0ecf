#include "app/operator_call.h"

#include <iostream>

#include "transport/http_call.h"

namespace papayaglade {

namespace {

constexpr std::chrono::milliseconds kTimeout{3000};
constexpr int kStatusOk = 200;

}  // namespace

std::optional<nlohmann::json> CallOperatorsPort(const endpoint& operators,
                                                const http_request& request,
                                                exit_code& code) {
  const http_connection::outcome outcome =
      CallHttp(operators, request, kTimeout);
  if (outcome.failure.has_value()) {
    std::cerr << "instance at " << operators.address << ":" << operators.port
              << " does not answer; check the address in its settings under "
                 "/operators, or ask another instance\n";
    code = exit_code::kUnavailable;
    return std::nullopt;
  }
  const auto body = nlohmann::json::parse(outcome.body, nullptr, false);
  if (outcome.status == kStatusOk && !body.is_discarded()) return body;
  code = exit_code::kFailed;
  const nlohmann::json nothing = nlohmann::json::object();
  const nlohmann::json& reply_object = body.is_object() ? body : nothing;
  const nlohmann::json& cause =
      reply_object.contains("error") ? reply_object.at("error") : reply_object;
  std::cerr << cause.value("message", "the instance rejected the call") << "; "
            << cause.value("remedy", "see the instance's log") << "\n";
  return std::nullopt;
}

}  // namespace papayaglade
