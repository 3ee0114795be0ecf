#ifndef PAPAYAGLADE_APP_DUTY_THREAD_H_
#define PAPAYAGLADE_APP_DUTY_THREAD_H_

#include <functional>
#include <string>
#include <thread>

namespace papayaglade {

/// The thread of one duty; its fibers start in `run`.
class duty_thread {
 public:
  duty_thread() = default;
  ~duty_thread();

  duty_thread(const duty_thread&) = delete;
  duty_thread& operator=(const duty_thread&) = delete;

  /// `name` shows in process listings; at most 15 characters.
  void Start(const std::string& name, std::function<void()> run);

  /// Waits until `run` has returned.
  void Join();

 private:
  std::thread thread_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_DUTY_THREAD_H_
