#include "app/bench_entry_target.h"

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

bench_entry_target::bench_entry_target(boost::asio::io_context& io,
                                       const std::vector<endpoint>& entries,
                                       std::size_t connections,
                                       std::chrono::milliseconds timeout,
                                       std::vector<std::string> bodies)
    : bodies_(std::move(bodies)) {
  for (const endpoint& each : entries) {
    entries_.push_back(std::make_unique<bench_connection_pool>(
        io, each, connections, timeout));
  }
}

void bench_entry_target::Send(answer_handler done) {
  bench_connection_pool& entry = *entries_[sent_count_ % entries_.size()];
  const std::string& body = bodies_[sent_count_ % bodies_.size()];
  ++sent_count_;
  entry.Send({"POST", "/query", "application/json", body},
             [done = std::move(done)](const http_connection::outcome& result) {
               done(ReadAnswer(result));
             });
}

}  // namespace papayaglade
