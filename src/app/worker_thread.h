#ifndef PAPAYAGLADE_APP_WORKER_THREAD_H_
#define PAPAYAGLADE_APP_WORKER_THREAD_H_

#include <functional>
#include <string>
#include <thread>

namespace papayaglade {

/// The thread of a worker. A worker is a component of an instance with its own
/// thread; other threads reach it only through its event ring or a thread-safe
/// interface. Fibers of the worker are started in `run`.
class worker_thread {
 public:
  worker_thread() = default;
  ~worker_thread();

  worker_thread(const worker_thread&) = delete;
  worker_thread& operator=(const worker_thread&) = delete;

  /// Starts a thread that calls `run`. `name` is shown in process listings and
  /// has at most 15 characters.
  void Start(const std::string& name, std::function<void()> run);

  /// Waits until `run` has returned; returns at once if no thread was started.
  void Join();

 private:
  std::thread thread_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_WORKER_THREAD_H_
