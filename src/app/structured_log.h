#ifndef PAPAYAGLADE_APP_STRUCTURED_LOG_H_
#define PAPAYAGLADE_APP_STRUCTURED_LOG_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "transport/loop_context.h"

namespace papayaglade {

/// One log line: an event and its fields, as "event=NAME key=value ...".
class log_line {
 public:
  explicit log_line(std::string_view event);
  log_line& With(std::string_view key, std::string_view value);
  log_line& With(std::string_view key, std::int64_t value);
  const std::string& Text() const { return text_; }

 private:
  std::string text_;
};

/// Structured logs on standard output. It never blocks: lines are kept in a
/// bounded buffer until the reader takes them, and each kind of line has a
/// budget a second; what is left out is counted and told.
class structured_log {
 public:
  enum class kind {
    kEvent,    ///< Starts, stops, reloads, dependencies, beliefs.
    kFailure,  ///< A request that did not get what it asked for.
    kAttempt,  ///< An attempt that failed, whatever became of its request.
    kSuccess,  ///< A request that was served.
  };

  explicit structured_log(loop_context& loop);

  void Write(kind kind, const log_line& line);
  /// Writes what is left, as far as the reader takes it.
  void Flush();

 private:
  struct budget {
    std::size_t per_second = 0;
    std::size_t used = 0;
  };

  void ScheduleFlush();
  void StartWindow(monotonic_time now);

  loop_context& loop_;
  std::string pending_;
  std::array<budget, 4> budgets_;  ///< By kind.
  monotonic_time window_start_;
  std::uint64_t dropped_lines_ = 0;
  bool flush_scheduled_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STRUCTURED_LOG_H_
