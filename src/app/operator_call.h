#ifndef PAPAYAGLADE_APP_OPERATOR_CALL_H_
#define PAPAYAGLADE_APP_OPERATOR_CALL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "app/command.h"
#include "protocol/http_message.h"
#include "state/identity.h"

namespace papayaglade {

/// Calls the operators' port of an instance and returns the JSON answer. On
/// failure, prints the reason and a remedy to standard error, sets `code`, and
/// returns nothing.
std::optional<nlohmann::json> CallOperatorsPort(const endpoint& operators,
                                                const http_request& request,
                                                exit_code& code);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_OPERATOR_CALL_H_
