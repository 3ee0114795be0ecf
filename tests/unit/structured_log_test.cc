#include "app/structured_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <string>
#include <thread>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

/// A pipe that takes the lines of a log.
class log_pipe {
 public:
  log_pipe() { REQUIRE(pipe(ends_.data()) == 0); }
  ~log_pipe() {
    CloseReadEnd();
    close(ends_[1]);
  }
  log_pipe(const log_pipe&) = delete;
  log_pipe& operator=(const log_pipe&) = delete;

  int WriteEnd() const { return ends_[1]; }
  void CloseReadEnd() {
    if (ends_[0] >= 0) close(ends_[0]);
    ends_[0] = -1;
  }

  /// Returns what lies in the pipe.
  std::string Read() const {
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    std::string text;
    std::array<char, 4096> buffer{};
    ssize_t count = 0;
    while ((count = read(ends_[0], buffer.data(), buffer.size())) > 0)
      text.append(buffer.data(), static_cast<std::size_t>(count));
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

std::size_t Count(const std::string& text, const std::string& what) {
  std::size_t count = 0;
  for (std::size_t at = text.find(what); at != std::string::npos;
       at = text.find(what, at + 1))
    ++count;
  return count;
}

}  // namespace

// Guards against a stop that ends requests without an answer and whose lines
// about them are crowded out by other failures.
TEST_CASE("lines about owed answers are kept beside many failures", "[log]") {
  log_pipe output;
  loop_context loop;
  structured_log log(loop, output.WriteEnd());
  for (int i = 0; i < 500; ++i)
    log.Write(structured_log::kind::kFailure, log_line("request"));
  for (int i = 0; i < 500; ++i)
    log.Write(structured_log::kind::kOwed, log_line("unanswered"));
  log.Write(structured_log::kind::kEvent, log_line("stopped"));
  log.FlushAtEnd(milliseconds(50));
  const std::string text = output.Read();
  CHECK(Count(text, "event=unanswered") == 500);
  CHECK(Count(text, "event=stopped") == 1);
  CHECK(Count(text, "event=request") < 500);
  CHECK(Count(text, "event=lines_left_out") == 1);
}

// Guards against losing the last lines of a process because the reader of
// standard output is a moment behind.
TEST_CASE("the last flush waits for a reader that is behind, but not long",
          "[log]") {
  log_pipe output;
  loop_context loop;
  structured_log log(loop, output.WriteEnd());
  const std::string filler(100000, 'x');
  log.Write(structured_log::kind::kOwed,
            log_line("unanswered").With("request", filler));
  log.Write(structured_log::kind::kEvent, log_line("stopped"));
  std::string text;
  std::thread reader([&] {
    std::this_thread::sleep_for(milliseconds(10));
    text = output.Read();
  });
  log.FlushAtEnd(milliseconds(2000));
  reader.join();
  text += output.Read();
  CHECK(Count(text, "event=stopped") == 1);

  log.Write(structured_log::kind::kOwed,
            log_line("unanswered").With("request", filler));
  const monotonic_time start = loop_context::Now();
  log.FlushAtEnd(milliseconds(50));
  CHECK(loop_context::Now() - start >= milliseconds(49));
  CHECK(loop_context::Now() - start < milliseconds(1000));
}

// Guards against an instance that a signal ends, with all requests that it
// owes an answer, because the reader of its log has gone.
TEST_CASE("a log without a reader does not end the process", "[log]") {
  log_pipe output;
  loop_context loop;
  structured_log log(loop, output.WriteEnd());
  output.CloseReadEnd();
  log.Write(structured_log::kind::kEvent, log_line("started"));
  log.Flush();
  log.FlushAtEnd(milliseconds(50));
  SUCCEED("the process goes on");
}

}  // namespace papayaglade
