#include "coordination/request_check.h"

#include <string>

namespace papayaglade {

std::optional<error> CheckRequest(const caller_request& request,
                                  const workload_route& route) {
  if (route.work == nullptr) {
    return error{error_kind::kUnknownName, "/workload",
                 "no service offers workload " + request.workload,
                 "use a workload of the configuration in force"};
  }
  const workload& work = *route.work;
  if (request.deadline.has_value() && *request.deadline > work.deadline) {
    return error{error_kind::kInvalidInput, "/deadline_ms",
                 "the deadline is longer than the workload allows",
                 "request at most " + std::to_string(work.deadline.count()) +
                     " ms, or raise deadline_ms in the service file"};
  }
  if (!request.request_key.empty() && work.repeatable) {
    return error{error_kind::kInvalidInput, "/request_key",
                 "workload " + work.name +
                     " is repeatable and does not use request keys",
                 "send the request without request_key"};
  }
  return std::nullopt;
}

}  // namespace papayaglade
