#include "transport/io_thread.h"

#include <pthread.h>

#include <utility>

namespace papayaglade {

io_thread::io_thread(std::string name)
    : name_(std::move(name)), work_guard_(io_.get_executor()) {}

io_thread::~io_thread() { Stop(); }

void io_thread::Start() {
  thread_ = std::thread([this] { io_.run(); });
  pthread_setname_np(thread_.native_handle(), name_.c_str());
}

void io_thread::Stop() {
  io_.stop();
  if (thread_.joinable()) thread_.join();
}

}  // namespace papayaglade
