#include "app/bench_entries.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace papayaglade {

namespace {

using nlohmann::json;

bench_answer ReadAnswer(const http_connection::outcome& result) {
  bench_answer answer;
  answer.outcome = "failed";
  if (result.failure.has_value()) return answer;
  const json body = json::parse(result.body, nullptr, false);
  if (!body.is_object()) return answer;
  answer.outcome = body.value("outcome", "failed");
  const json details = body.value("account", json::object());
  answer.coverage = details.value("coverage", 0.0);
  answer.retries = details.value("retries", 0);
  answer.hedges = details.value("hedges", 0);
  if (details.contains("shards")) {
    answer.shards = static_cast<int>(details.at("shards").size());
  }
  return answer;
}

}  // namespace

bench_entries::bench_entries(boost::asio::io_context& io,
                             const std::vector<endpoint>& entries,
                             std::size_t connections,
                             std::chrono::milliseconds timeout,
                             std::vector<std::string> bodies)
    : bodies_(std::move(bodies)) {
  for (const endpoint& each : entries) {
    entries_.push_back(
        std::make_unique<bench_connections>(io, each, connections, timeout));
  }
}

void bench_entries::Ask(answer_handler done) {
  bench_connections& entry = *entries_[asked_ % entries_.size()];
  const std::string& body = bodies_[asked_ % bodies_.size()];
  ++asked_;
  entry.Ask({"POST", "/query", "application/json", body},
            [done = std::move(done)](const http_connection::outcome& result) {
              done(ReadAnswer(result));
            });
}

}  // namespace papayaglade
