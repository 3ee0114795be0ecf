#ifndef PAPAYAGLADE_APP_BENCH_LOAD_GENERATOR_H_
#define PAPAYAGLADE_APP_BENCH_LOAD_GENERATOR_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <random>

#include "app/bench_report.h"
#include "app/bench_target.h"
#include "state/time.h"

namespace papayaglade {

enum class arrival_process { kPoisson, kConstant };

/// How much load to offer and for how long.
struct load_plan {
  arrival_process arrivals = arrival_process::kPoisson;
  double queries_per_second = 10;
  std::chrono::milliseconds warm_up{1000};  ///< Asked but not reported.
  std::chrono::milliseconds duration{10000};
  std::chrono::milliseconds answer_timeout{5000};  ///< For the last answers.
  std::uint64_t seed = 1;
};

/// An open-loop load: queries start at planned times whatever became of the
/// earlier ones, and are timed from then.
class bench_load_generator {
 public:
  bench_load_generator(boost::asio::io_context& io, bench_target& target,
                       const load_plan& plan);

  /// Runs the whole plan and returns what was measured.
  bench_report Run();

 private:
  void ScheduleNext();
  void Send();
  std::chrono::microseconds NextInterArrivalTime();

  boost::asio::io_context& io_;
  bench_target& target_;
  load_plan plan_;
  std::mt19937_64 random_;
  boost::asio::steady_timer arrival_timer_;
  boost::asio::steady_timer end_timer_;
  monotonic_time start_;
  monotonic_time next_arrival_;
  std::size_t pending_ = 0;
  bool sending_ = true;
  bench_report report_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_BENCH_LOAD_GENERATOR_H_
