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

/// Parses the body of `POST /query`. An error lists every fault found.
std::variant<caller_request, error> ParseCallerRequest(const std::string& body);

/// Formats the answer to a caller, with the HTTP status that docs/PROTOCOLS.md
/// specifies.
http_response FormatCallerOutcome(const caller_outcome& outcome);

/// Formats the error for a request that was refused before it reached the
/// router.
http_response FormatCallerError(const error& cause);

/// Formats the account and timings of a finished request as JSON text.
std::string FormatFinishedRequest(const finished_request& request);

nlohmann::json ErrorToJson(const error& cause);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CALLER_CODEC_H_
