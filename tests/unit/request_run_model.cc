#include "request_run_model.h"

#include <algorithm>

namespace papayaglade {

attempt_result Part(const std::string& signature) {
  attempt_result result;
  result.end = attempt_end::kAnswered;
  result.reply.status = 200;
  result.reply.signature = signature;
  result.reply.body = std::string(16, 'r');
  return result;
}

attempt_result Ended(attempt_end end) {
  attempt_result result;
  result.end = end;
  if (end == attempt_end::kFailedAnswer) result.reply.status = 500;
  return result;
}

void AnswerAllExcept(request_run& run, recording_port& port,
                     const std::vector<std::size_t>& excluded,
                     monotonic_time now) {
  const auto open = port.open;
  for (const auto& each : open) {
    const std::size_t leg = each.second.leg;
    if (std::find(excluded.begin(), excluded.end(), leg) != excluded.end())
      continue;
    port.open.erase(each.first);
    run.OnResult(each.first, Part(std::to_string(leg)), now);
  }
}

void Advance(request_run& run, monotonic_time until) {
  while (!run.IsDone() && run.NextTimer() <= until)
    run.OnTimer(run.NextTimer());
}

refusal CauseOf(const entry_answer& answer) {
  return std::get<refused_answer>(answer).cause;
}

}  // namespace papayaglade
