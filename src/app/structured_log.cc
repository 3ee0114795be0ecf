#include "app/structured_log.h"

#include <fcntl.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <csignal>
#include <utility>

namespace papayaglade {

namespace {

constexpr std::size_t kEventsPerSecond = 200;
constexpr std::size_t kFailuresPerSecond = 50;
constexpr std::size_t kAttemptsPerSecond = 20;
constexpr std::size_t kSuccessesPerSecond = 5;
// A stop tells of each request in progress, of which there are at most as many
// as connections.
constexpr std::size_t kOwedPerSecond = 2000;
constexpr std::size_t kMaxPendingBytes = 64 * 1024;
constexpr std::size_t kMaxPendingOwedBytes = 512 * 1024;
constexpr std::size_t kMaxPendingEventBytes =
    kMaxPendingOwedBytes + kMaxPendingBytes;
constexpr std::chrono::milliseconds kFlushDelay{100};
// In the order of structured_log::kind.
constexpr std::array<const char*, 5> kKindNames = {
    "events", "failures", "attempts", "successes", "owed"};

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

structured_log::structured_log(loop_context& loop, int descriptor)
    : loop_(loop),
      descriptor_(descriptor),
      budgets_{{{kEventsPerSecond, kMaxPendingEventBytes},
                {kFailuresPerSecond, kMaxPendingBytes},
                {kAttemptsPerSecond, kMaxPendingBytes},
                {kSuccessesPerSecond, kMaxPendingBytes},
                {kOwedPerSecond, kMaxPendingOwedBytes}}},
      window_start_(loop_context::Now()) {
  // A blocked reader of standard output must not block requests, and one that
  // is gone must not end them.
  std::signal(SIGPIPE, SIG_IGN);
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

void structured_log::Write(kind kind, const log_line& line) {
  const monotonic_time now = loop_context::Now();
  if (now - window_start_ >= std::chrono::seconds(1)) StartWindow(now);
  budget& own = budgets_.at(static_cast<std::size_t>(kind));
  if (own.used >= own.per_second || pending_.size() >= own.pending_bytes) {
    ++own.dropped;
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
    const ssize_t count = write(descriptor_, pending_.data(), pending_.size());
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return;
    pending_.erase(0, static_cast<std::size_t>(count));
  }
}

void structured_log::FlushAtEnd(std::chrono::milliseconds limit) {
  ReportDroppedLines();
  const monotonic_time end = loop_context::Now() + limit;
  Flush();
  while (!pending_.empty()) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - loop_context::Now());
    if (left.count() <= 0) return;
    pollfd output{descriptor_, POLLOUT, 0};
    const int ready = poll(&output, 1, static_cast<int>(left.count()));
    if (ready < 0 && errno != EINTR) return;
    if (ready > 0 && output.revents != POLLOUT) return;
    Flush();
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
  ReportDroppedLines();
}

void structured_log::ReportDroppedLines() {
  std::uint64_t all = 0;
  std::string by_kind;
  for (std::size_t i = 0; i < budgets_.size(); ++i) {
    const std::uint64_t dropped = std::exchange(budgets_.at(i).dropped, 0);
    all += dropped;
    if (dropped > 0)
      by_kind +=
          std::string(" ") + kKindNames.at(i) + "=" + std::to_string(dropped);
  }
  if (all == 0) return;
  pending_ +=
      "event=lines_left_out count=" + std::to_string(all) + by_kind + "\n";
}

}  // namespace papayaglade
