#include "app/owed_answer.h"

#include <algorithm>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

// A line names this many upstreams; a fan-out may wait for hundreds.
constexpr std::size_t kMaxNamedLegs = 4;

}  // namespace

const char* AwaitedName(awaited awaited) {
  switch (awaited) {
    case awaited::kCapacity:
      return "capacity";
    case awaited::kConnect:
      return "connect";
    case awaited::kAnswer:
      return "answer";
    case awaited::kWrite:
      return "write";
  }
  return "unknown";
}

log_line OwedAnswerLine(std::string_view event, const owed_answer& owed,
                        std::string_view by,
                        std::chrono::system_clock::time_point now) {
  const auto read = std::chrono::duration_cast<milliseconds>(
      (now - owed.age).time_since_epoch());
  log_line line(event);
  line.With("request", owed.request).With("route", owed.route);
  if (!by.empty()) line.With("by", by);
  line.With("read", read.count())
      .With("ms", owed.age.count())
      .With("stopping_ms", owed.stopping.value_or(milliseconds(-1)).count())
      .With("waits_for", AwaitedName(owed.waits_for))
      .With("open_legs", static_cast<std::int64_t>(owed.open_legs.size()));
  std::string named;
  const std::size_t count = std::min(kMaxNamedLegs, owed.open_legs.size());
  for (std::size_t i = 0; i < count; ++i) {
    if (i > 0) named += ",";
    named += owed.open_legs[i];
  }
  return line.With("upstreams", named);
}

}  // namespace papayaglade
