#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "store_standin.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

std::string Text(const endpoint& address) {
  return "127.0.0.1:" + std::to_string(address.port);
}

/// A process of an entry instance whose output goes to a pipe.
class entry_process {
 public:
  entry_process() {
    settings_ =
        std::filesystem::temp_directory_path() / "papayaglade-entry-XXXXXX";
    close(mkstemp(settings_.data()));
    readiness_ = FindFreeEndpoint();
    std::ofstream(settings_)
        << R"({"name":"a","data_centre":"d","region":"r","seeds":[],"callers":")"
        << Text(FindFreeEndpoint()) << R"(","readiness":")" << Text(readiness_)
        << R"(","control":")" << Text(FindFreeEndpoint()) << R"(","metrics":")"
        << Text(FindFreeEndpoint()) << R"(","store":")"
        << Text(FindFreeEndpoint()) << R"("})";
    int ends[2] = {-1, -1};
    REQUIRE(pipe(ends) == 0);
    output_ = ends[0];
    process_ = fork();
    if (process_ == 0) {
      dup2(ends[1], STDOUT_FILENO);
      dup2(ends[1], STDERR_FILENO);
      close(ends[0]);
      close(ends[1]);
      execl(PAPAYAGLADE_PROGRAM, "papayaglade", "entry", "--settings",
            settings_.c_str(), nullptr);
      _exit(127);
    }
    close(ends[1]);
  }
  ~entry_process() {
    kill(process_, SIGKILL);
    waitpid(process_, nullptr, 0);
    std::remove(settings_.c_str());
  }
  entry_process(const entry_process&) = delete;
  entry_process& operator=(const entry_process&) = delete;

  /// Returns whether the instance listens within a few seconds.
  bool Started() const {
    for (int i = 0; i < 250; ++i) {
      if (Listens()) return true;
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }
  bool Listens() const {
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code failed;
    socket.connect({boost::asio::ip::address_v4::loopback(), readiness_.port},
                   failed);
    return !failed;
  }
  void CloseOutput() const { close(output_); }
  void Signal(int number) const { kill(process_, number); }

 private:
  std::string settings_;
  endpoint readiness_;
  int output_ = -1;
  pid_t process_ = -1;
};

}  // namespace

// Guards against the end of an instance whose log has lost its reader.
TEST_CASE("an instance goes on when the reader of its log is gone",
          "[process]") {
  const entry_process entry;
  REQUIRE(entry.Started());
  entry.CloseOutput();
  // Writes an event.
  entry.Signal(SIGHUP);
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(entry.Listens());
}

}  // namespace papayaglade
