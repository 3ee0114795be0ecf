#ifndef PAPAYAGLADE_TRANSPORT_TIMER_THREAD_H_
#define PAPAYAGLADE_TRANSPORT_TIMER_THREAD_H_

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>

#include "coordination/timer_service.h"
#include "transport/io_thread.h"

namespace papayaglade {

/// Timer service of a running instance. It uses the real clock and calls all
/// subscribers on one thread.
class timer_thread : public timer_service {
 public:
  timer_thread();
  ~timer_thread() override;

  void Start();
  void Stop();

  monotonic_time Now() const override { return monotonic_clock::now(); }
  subscription Subscribe(std::chrono::milliseconds period,
                         tick_handler handler) override;
  void Cancel(subscription id) override;

 private:
  struct entry {
    std::chrono::milliseconds period;
    tick_handler handler;
    boost::asio::steady_timer timer;
  };

  void ArmTimer(subscription id, entry& armed);
  void Fire(subscription id);

  io_thread thread_;
  std::recursive_mutex mutex_;
  subscription last_id_ = 0;
  std::map<subscription, std::unique_ptr<entry>> entries_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_TIMER_THREAD_H_
