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

/// The rate, duration and arrival process of a load.
struct load_plan {
  arrival_process arrivals = arrival_process::kPoisson;
  double queries_per_second = 10;
  /// Duration of the warm-up load, which is sent but not reported.
  std::chrono::milliseconds warm_up{1000};
  std::chrono::milliseconds duration{10000};
  /// Wait for answers after the last query.
  std::chrono::milliseconds answer_timeout{5000};
  std::uint64_t seed = 1;
};

/// Generates an open-loop load: queries are sent at scheduled times, whether or
/// not earlier ones were answered. Latencies count from the scheduled times.
class bench_load_generator {
 public:
  bench_load_generator(boost::asio::io_context& io, bench_target& target,
                       const load_plan& plan);

  /// Runs the plan and returns the measurements.
  bench_report Run();

 private:
  /// Schedules the next query, or ends the load after its duration.
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
