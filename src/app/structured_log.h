#ifndef PAPAYAGLADE_APP_STRUCTURED_LOG_H_
#define PAPAYAGLADE_APP_STRUCTURED_LOG_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "transport/loop_context.h"

namespace papayaglade {

/// One log line: "event=NAME" followed by " key=value" for each field.
class log_line {
 public:
  explicit log_line(std::string_view event);
  log_line& With(std::string_view key, std::string_view value);
  log_line& With(std::string_view key, std::int64_t value);
  const std::string& Text() const { return text_; }

 private:
  std::string text_;
};

/// Writes structured log lines to standard output without blocking. Lines are
/// kept in a bounded buffer until standard output accepts them, and each kind
/// of line has a limit per second. Dropped lines are counted, and their number
/// is logged. The process ignores SIGPIPE from then on.
class structured_log {
 public:
  enum class kind {
    kEvent,    ///< Starts, stops, reloads, and state changes of dependencies.
    kFailure,  ///< A request that was not served completely.
    kAttempt,  ///< A failed attempt, whatever the outcome of its request.
    kSuccess,  ///< A request that was served completely.
    kOwed,     ///< A request that is owed an answer at the end of its
               ///< connection or of the process.
  };

  /// Writes to the file `descriptor`, which must not be closed before.
  explicit structured_log(loop_context& loop, int descriptor = 1);

  void Write(kind kind, const log_line& line);
  /// Writes as much of the buffer as standard output accepts.
  void Flush();
  /// Writes the buffer and the number of dropped lines at the end of the
  /// process. Waits at most `limit` for standard output.
  void FlushAtEnd(std::chrono::milliseconds limit);

 private:
  struct budget {
    std::size_t per_second = 0;
    /// Size of the buffer beyond which lines of the kind are dropped.
    std::size_t pending_bytes = 0;
    std::size_t used = 0;
    /// Lines that were not written since the last report of them.
    std::uint64_t dropped = 0;
  };

  void ScheduleFlush();
  /// Starts the next one-second window and logs the number of dropped lines.
  void StartWindow(monotonic_time now);
  void ReportDroppedLines();

  loop_context& loop_;
  int descriptor_;
  /// Lines that are not written yet.
  std::string pending_;
  std::array<budget, 5> budgets_;  ///< Rate limits, indexed by kind.
  monotonic_time window_start_;
  bool flush_scheduled_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STRUCTURED_LOG_H_
