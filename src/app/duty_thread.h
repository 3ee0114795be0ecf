#ifndef PAPAYAGLADE_APP_DUTY_THREAD_H_
#define PAPAYAGLADE_APP_DUTY_THREAD_H_

#include <functional>
#include <string>
#include <thread>

namespace papayaglade {

/// The thread of a duty. A duty is a component of an instance with its own
/// thread; other threads reach it only through its event ring or a thread-safe
/// interface. Fibers of the duty are started in `run`.
class duty_thread {
 public:
  duty_thread() = default;
  ~duty_thread();

  duty_thread(const duty_thread&) = delete;
  duty_thread& operator=(const duty_thread&) = delete;

  /// Starts a thread that calls `run`. `name` is shown in process listings and
  /// has at most 15 characters.
  void Start(const std::string& name, std::function<void()> run);

  /// Waits until `run` has returned; returns at once if no thread was started.
  void Join();

 private:
  std::thread thread_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_DUTY_THREAD_H_
