#include "app/structured_log.h"

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
constexpr std::size_t kMaxPendingBytes = 64 * 1024;
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

structured_log::structured_log(loop_context& loop)
    : loop_(loop),
      budgets_{{{kEventsPerSecond, 0},
                {kFailuresPerSecond, 0},
                {kAttemptsPerSecond, 0},
                {kSuccessesPerSecond, 0}}},
      window_start_(loop_context::Now()) {
  // A blocked reader of standard output must not block requests.
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void structured_log::Write(kind kind, const log_line& line) {
  const monotonic_time now = loop_context::Now();
  if (now - window_start_ >= std::chrono::seconds(1)) StartWindow(now);
  budget& own = budgets_.at(static_cast<std::size_t>(kind));
  if (own.used >= own.per_second || pending_.size() >= kMaxPendingBytes) {
    ++dropped_lines_;
    return;
  }
  ++own.used;
  const auto since = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  pending_ += "t=" + std::to_string(since.count()) + " " + line.Text() + "\n";
  ScheduleFlush();
}

void structured_log::Flush() {
  while (!pending_.empty()) {
    const ssize_t count =
        write(STDOUT_FILENO, pending_.data(), pending_.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return;
    pending_.erase(0, static_cast<std::size_t>(count));
  }
}

void structured_log::ScheduleFlush() {
  if (flush_scheduled_) return;
  flush_scheduled_ = true;
  loop_.ScheduleAfter(kFlushDelay, [this](monotonic_time) {
    flush_scheduled_ = false;
    Flush();
    if (!pending_.empty()) ScheduleFlush();
  });
}

void structured_log::StartWindow(monotonic_time now) {
  window_start_ = now;
  for (budget& each : budgets_) each.used = 0;
  if (dropped_lines_ == 0) return;
  pending_ +=
      "event=lines_left_out count=" + std::to_string(dropped_lines_) + "\n";
  dropped_lines_ = 0;
}

}  // namespace papayaglade
