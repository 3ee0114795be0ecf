#ifndef PAPAYAGLADE_APP_SERVER_H_
#define PAPAYAGLADE_APP_SERVER_H_

#include <memory>
#include <string>

#include "state/instance_settings.h"

namespace papayaglade {

/// One instance: owns all workers, their event rings and their network ports.
class server {
 public:
  explicit server(const instance_settings& settings);
  ~server();

  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// Binds all ports and starts all workers. Returns an empty string, or an
  /// error message with a remedy.
  std::string Start();

  /// Answers each accepted request and stops all workers within the shutdown
  /// bound. Logs the requests whose answers are not complete by then.
  void Shutdown();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_SERVER_H_
