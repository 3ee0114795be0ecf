#include "app/decision_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>

namespace papayaglade {

namespace {

constexpr std::size_t kEventsPerSecond = 200;
constexpr std::size_t kFailuresPerSecond = 50;
constexpr std::size_t kAttemptsPerSecond = 20;
constexpr std::size_t kSuccessesPerSecond = 5;
constexpr std::size_t kMostPendingBytes = 64 * 1024;
constexpr std::chrono::milliseconds kFlushDelay{100};

}  // namespace

log_line::log_line(std::string_view event) : text_("event=") {
  text_.append(event);
}

log_line& log_line::With(std::string_view key, std::string_view value) {
  text_.append(" ").append(key).append("=");
  for (const char c : value) {
    const bool plain = c > ' ' && c != '"' && c < '\x7f';
    text_ += plain ? c : '_';
  }
  return *this;
}

log_line& log_line::With(std::string_view key, std::int64_t value) {
  text_.append(" ").append(key).append("=").append(std::to_string(value));
  return *this;
}

decision_log::decision_log(loop_context& loop)
    : loop_(loop),
      budgets_{{{kEventsPerSecond, 0},
                {kFailuresPerSecond, 0},
                {kAttemptsPerSecond, 0},
                {kSuccessesPerSecond, 0}}},
      second_(loop_context::Now()) {
  // A reader that stalls must not stall requests.
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void decision_log::Write(kind kind, const log_line& line) {
  const monotonic_time now = loop_context::Now();
  if (now - second_ >= std::chrono::seconds(1)) NewSecond(now);
  budget& own = budgets_.at(static_cast<std::size_t>(kind));
  if (own.used >= own.per_second || pending_.size() >= kMostPendingBytes) {
    ++left_out_;
    return;
  }
  ++own.used;
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  pending_ += "t=" + std::to_string(since.count()) + " " + line.Text() + "\n";
  PlanFlush();
}

void decision_log::Flush() {
  while (!pending_.empty()) {
    const ssize_t count =
        write(STDOUT_FILENO, pending_.data(), pending_.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return;
    pending_.erase(0, static_cast<std::size_t>(count));
  }
}

void decision_log::PlanFlush() {
  if (flush_planned_) return;
  flush_planned_ = true;
  loop_.ScheduleAfter(kFlushDelay, [this](monotonic_time) {
    flush_planned_ = false;
    Flush();
    if (!pending_.empty()) PlanFlush();
  });
}

void decision_log::NewSecond(monotonic_time now) {
  second_ = now;
  for (budget& each : budgets_) each.used = 0;
  if (left_out_ == 0) return;
  pending_ += "event=lines_left_out count=" + std::to_string(left_out_) + "\n";
  left_out_ = 0;
}

}  // namespace papayaglade
