#ifndef PAPAYAGLADE_APP_OPERATOR_CALL_H_
#define PAPAYAGLADE_APP_OPERATOR_CALL_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "app/command.h"
#include "protocol/http_message.h"
#include "state/identity.h"

namespace papayaglade {

/// Makes one call to an instance's operators' port for a command. On failure
/// prints why and the remedy to standard error, sets `code`, returns nothing.
std::optional<nlohmann::json> CallOperatorsPort(const endpoint& operators,
                                                const http_request& request,
                                                exit_code& code);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_OPERATOR_CALL_H_
