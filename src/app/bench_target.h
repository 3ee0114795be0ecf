#ifndef PAPAYAGLADE_APP_BENCH_TARGET_H_
#define PAPAYAGLADE_APP_BENCH_TARGET_H_

#include <functional>
#include <string>

namespace papayaglade {

/// What came of one query of the load generator.
struct bench_answer {
  std::string outcome;  ///< Wire name, or "failed" when no answer came.
  double coverage = 0;
  int retries = 0;
  int hedges = 0;
  int shards = 0;
};

/// What the load generator asks; all calls are on the thread of its I/O.
class bench_target {
 public:
  using answer_handler = std::function<void(bench_answer)>;

  virtual ~bench_target() = default;
  /// Asks one query; `done` is called once.
  virtual void Send(answer_handler done) = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_TARGET_H_
