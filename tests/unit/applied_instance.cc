#include "applied_instance.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdio>

namespace papayaglade {

stored_object UpstreamReport(const std::string& state, std::int64_t sequence,
                             std::int64_t start_time_ms) {
  return {"i-1",
          false,
          {{"service", "desk"},
           {"address", "10.128.0.9:8080"},
           {"zone", "kigali"},
           {"version", "v1"},
           {"max_concurrency", 3},
           {"state", state},
           {"warmup_left_ms", 0},
           {"sequence", sequence},
           {"born", start_time_ms}}};
}

std::vector<std::string> applied_instance::Apply(
    stored_kind kind, const std::vector<stored_object>& objects) {
  applier.OnChanges(kind, objects);
  return FlushLog();
}

std::vector<std::string> applied_instance::FlushLog() {
  std::FILE* file = std::tmpfile();
  REQUIRE(file != nullptr);
  std::fflush(stdout);
  const int standard_output = dup(STDOUT_FILENO);
  dup2(fileno(file), STDOUT_FILENO);
  log.Flush();
  dup2(standard_output, STDOUT_FILENO);
  close(standard_output);
  std::rewind(file);
  std::vector<std::string> lines(1);
  for (int c = std::fgetc(file); c != EOF; c = std::fgetc(file)) {
    if (c == '\n') {
      lines.emplace_back();
    } else {
      lines.back() += static_cast<char>(c);
    }
  }
  std::fclose(file);
  lines.pop_back();
  return lines;
}

}  // namespace papayaglade
