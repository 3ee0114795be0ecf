#include "app/bench_load_generator.h"

#include <cmath>
#include <utility>

namespace papayaglade {

namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

bench_load_generator::bench_load_generator(boost::asio::io_context& io,
                                           bench_target& target,
                                           const load_plan& plan)
    : io_(io),
      target_(target),
      plan_(plan),
      random_(plan.seed),
      arrival_timer_(io),
      end_timer_(io) {}

bench_report bench_load_generator::Run() {
  start_ = monotonic_clock::now();
  next_arrival_ = start_;
  ScheduleNext();
  end_timer_.expires_at(start_ + plan_.warm_up + plan_.duration +
                        plan_.answer_timeout);
  end_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) io_.stop();
  });
  io_.run();
  report_.unanswered = pending_;
  return std::move(report_);
}

void bench_load_generator::ScheduleNext() {
  next_arrival_ += NextInterArrivalTime();
  if (next_arrival_ >= start_ + plan_.warm_up + plan_.duration) {
    sending_ = false;
    if (pending_ == 0) end_timer_.cancel();
    return;
  }
  arrival_timer_.expires_at(next_arrival_);
  arrival_timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    Send();
    ScheduleNext();
  });
}

void bench_load_generator::Send() {
  ++pending_;
  const monotonic_time arrival = next_arrival_;
  const bool measured = arrival >= start_ + plan_.warm_up;
  target_.Send([this, arrival, measured](const bench_answer& answer) {
    --pending_;
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
        monotonic_clock::now() - arrival);
    if (measured) report_.Add(answer, latency);
    if (!sending_ && pending_ == 0) end_timer_.cancel();
  });
}

std::chrono::microseconds bench_load_generator::NextInterArrivalTime() {
  const double mean = kMicrosPerSecond / plan_.queries_per_second;
  double interval = mean;
  if (plan_.arrivals == arrival_process::kPoisson) {
    interval = std::exponential_distribution<double>(1.0 / mean)(random_);
  }
  return std::chrono::microseconds(
      static_cast<std::int64_t>(std::ceil(interval)));
}

}  // namespace papayaglade
