#ifndef PAPAYAGLADE_TESTS_STANDIN_TCP_RELAY_H_
#define PAPAYAGLADE_TESTS_STANDIN_TCP_RELAY_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <unordered_set>

namespace papayaglade {

/// Relays connections to one listening process. It can reset, silence or delay
/// them by the name of the instance that opened them. While the process refuses
/// connections, the relay refuses them too.
class tcp_relay {
 public:
  /// `definition`: {"name","port","target"}.
  tcp_relay(boost::asio::io_context& io, const nlohmann::json& definition);

  bool Open();
  /// Executes {"do":"cut"|"silence"|"delay"|"heal","from":NAME,...}. A command
  /// without "from" applies to all instances.
  void Command(const nlohmann::json& command);
  nlohmann::json Summary() const;

 private:
  class session;
  struct fault {
    bool cut = false;                    ///< Resets open and new connections.
    bool silent = false;                 ///< New connections pass no bytes.
    std::chrono::milliseconds delay{0};  ///< Added in each direction.
  };

  void Accept();
  void CheckTarget();
  void OnTargetChecked(bool refused);
  /// Returns the fault for the instance `from`, or the one for all instances.
  const fault& FindFault(const std::string& from) const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint listen_endpoint_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket check_socket_;
  boost::asio::steady_timer check_timer_;
  /// Faults by instance name. The empty name holds the fault for all instances.
  std::map<std::string, fault> faults_;
  std::unordered_set<session*> sessions_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_TCP_RELAY_H_
