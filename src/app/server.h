#ifndef PAPAYAGLADE_APP_SERVER_H_
#define PAPAYAGLADE_APP_SERVER_H_

#include <memory>
#include <string>

#include "state/instance_settings.h"

namespace papayaglade {

/// One instance: all duties, their rings and their ports.
class server {
 public:
  explicit server(const instance_settings& settings);
  ~server();

  server(const server&) = delete;
  server& operator=(const server&) = delete;

  /// Binds all ports and starts all duties; returns an empty string, or what
  /// failed and the remedy.
  std::string Start();

  /// Finishes all accepted work within the shutdown bound, then stops.
  void Shutdown();

 private:
  class implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_SERVER_H_
