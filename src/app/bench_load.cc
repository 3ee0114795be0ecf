#include "app/bench_load.h"

#include <cmath>
#include <utility>

namespace papayaglade {

namespace {

constexpr double kMicrosPerSecond = 1e6;

}  // namespace

bench_load::bench_load(boost::asio::io_context& io, bench_target& target,
                       const load_plan& plan)
    : io_(io),
      target_(target),
      plan_(plan),
      random_(plan.seed),
      timer_(io),
      end_(io) {}

bench_report bench_load::Run() {
  start_ = monotonic_clock::now();
  intended_ = start_;
  PlanNext();
  end_.expires_at(start_ + plan_.warm_up + plan_.duration + plan_.patience);
  end_.async_wait([this](const boost::system::error_code& cancelled) {
    if (!cancelled) io_.stop();
  });
  io_.run();
  report_.unanswered = open_;
  return std::move(report_);
}

void bench_load::PlanNext() {
  intended_ += NextGap();
  if (intended_ >= start_ + plan_.warm_up + plan_.duration) {
    asking_ = false;
    if (open_ == 0) end_.cancel();
    return;
  }
  timer_.expires_at(intended_);
  timer_.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) return;
    Ask();
    PlanNext();
  });
}

void bench_load::Ask() {
  ++open_;
  const monotonic_time intended = intended_;
  const bool warm = intended >= start_ + plan_.warm_up;
  target_.Ask([this, intended, warm](const bench_answer& answer) {
    --open_;
    const auto took = std::chrono::duration_cast<std::chrono::microseconds>(
        monotonic_clock::now() - intended);
    if (warm) report_.Add(answer, took);
    if (!asking_ && open_ == 0) end_.cancel();
  });
}

std::chrono::microseconds bench_load::NextGap() {
  const double mean = kMicrosPerSecond / plan_.queries_per_second;
  double gap = mean;
  if (plan_.arrivals == arrival_process::kPoisson) {
    gap = std::exponential_distribution<double>(1.0 / mean)(random_);
  }
  return std::chrono::microseconds(static_cast<std::int64_t>(std::ceil(gap)));
}

}  // namespace papayaglade
