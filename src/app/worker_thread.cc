#include "app/worker_thread.h"

#include <pthread.h>

#include <utility>

namespace papayaglade {

worker_thread::~worker_thread() { Join(); }

void worker_thread::Start(const std::string& name, std::function<void()> run) {
  thread_ = std::thread(std::move(run));
  pthread_setname_np(thread_.native_handle(), name.c_str());
}

void worker_thread::Join() {
  if (thread_.joinable()) thread_.join();
}

}  // namespace papayaglade
