#include "coordination/request_check.h"

#include <string>

namespace papayaglade {

std::optional<error> CheckRequest(const caller_request& request,
                                  const workload_route& route) {
  if (route.work == nullptr) {
    return error{error_kind::kUnknownName, "/workload",
                 "no service offers workload " + request.workload,
                 "name a workload of the configuration in force"};
  }
  const workload& work = *route.work;
  if (request.deadline.has_value() && *request.deadline > work.deadline) {
    return error{error_kind::kInvalidInput, "/deadline_ms",
                 "the deadline is longer than the workload allows",
                 "ask for at most " + std::to_string(work.deadline.count()) +
                     " ms, or have the service file's deadline_ms raised"};
  }
  if (!request.request_key.empty() && work.repeatable) {
    return error{error_kind::kInvalidInput, "/request_key",
                 "workload " + work.name + " is repeatable and takes no key",
                 "leave request_key out"};
  }
  return std::nullopt;
}

}  // namespace papayaglade
