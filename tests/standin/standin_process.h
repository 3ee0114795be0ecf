#ifndef PAPAYAGLADE_TESTS_STANDIN_STANDIN_PROCESS_H_
#define PAPAYAGLADE_TESTS_STANDIN_STANDIN_PROCESS_H_

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "http_port.h"
#include "platform_standin.h"
#include "tcp_relay.h"
#include "upstream_standin.h"

namespace papayaglade {

/// The stand-ins that run in one process, and the control port that receives
/// commands for them.
class standin_process {
 public:
  /// `definition`: {"control":PORT,"platform":{...},"upstreams":[...],
  /// "relays":[...]}. All keys are optional.
  explicit standin_process(const nlohmann::json& definition);

  /// Opens all ports. Returns an empty string on success, otherwise the name of
  /// the stand-in whose port could not be opened.
  std::string Open();
  /// Runs until the process ends.
  void Run() { io_.run(); }

 private:
  http_response Handle(const http_request& request);
  void Command(const std::string& target, const nlohmann::json& command);
  nlohmann::json Summary() const;

  boost::asio::io_context io_{1};
  std::unique_ptr<http_port> control_;
  std::unique_ptr<platform_standin> platform_;
  std::map<std::string, std::unique_ptr<upstream_standin>> upstreams_;
  std::map<std::string, std::unique_ptr<tcp_relay>> relays_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_STANDIN_PROCESS_H_
