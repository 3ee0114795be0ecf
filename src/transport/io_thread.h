#ifndef PAPAYAGLADE_TRANSPORT_IO_THREAD_H_
#define PAPAYAGLADE_TRANSPORT_IO_THREAD_H_

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <string>
#include <thread>

namespace papayaglade {

/// A named thread that runs an io_context until Stop.
class io_thread {
 public:
  /// `name` is shown in process listings and has at most 15 characters.
  explicit io_thread(std::string name);
  ~io_thread();

  io_thread(const io_thread&) = delete;
  io_thread& operator=(const io_thread&) = delete;

  boost::asio::io_context& Io() { return io_; }

  void Start();
  /// Stops without running the pending handlers and joins the thread.
  void Stop();

 private:
  std::string name_;
  boost::asio::io_context io_{1};
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
      work_guard_;
  std::thread thread_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_IO_THREAD_H_
