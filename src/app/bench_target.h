#ifndef PAPAYAGLADE_APP_BENCH_TARGET_H_
#define PAPAYAGLADE_APP_BENCH_TARGET_H_

#include <functional>
#include <string>

namespace papayaglade {

/// The result of one query of the load generator.
struct bench_answer {
  /// Outcome name on the wire, or "failed" without an answer.
  std::string outcome;
  double coverage = 0;
  int retries = 0;
  int hedges = 0;
  int shards = 0;
};

/// Receives the queries of the load generator. All calls are made on its I/O
/// thread.
class bench_target {
 public:
  using answer_handler = std::function<void(bench_answer)>;

  virtual ~bench_target() = default;
  /// Sends one query. `done` is called once.
  virtual void Send(answer_handler done) = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_TARGET_H_
