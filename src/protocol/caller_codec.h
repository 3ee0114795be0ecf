#ifndef PAPAYAGLADE_PROTOCOL_CALLER_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_CALLER_CODEC_H_

#include <nlohmann/json.hpp>
#include <string>
#include <variant>

#include "coordination/query_history.h"
#include "protocol/http_message.h"
#include "state/caller_messages.h"
#include "state/error.h"

namespace papayaglade {

/// Reads the body of `POST /query`; every fault found is in the error.
std::variant<caller_request, error> ParseCallerRequest(const std::string& body);

/// Formats the answer to a caller, with the status docs/PROTOCOLS.md names.
http_response FormatCallerOutcome(const caller_outcome& outcome);

/// Formats a refusal made before the request reached the router.
http_response FormatCallerError(const error& cause);

/// The account and timings of a finished request as JSON text.
std::string FormatFinishedRequest(const finished_request& request);

nlohmann::json ErrorToJson(const error& cause);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CALLER_CODEC_H_
