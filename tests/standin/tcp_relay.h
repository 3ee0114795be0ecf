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

/// Passes the connections of one listening process, and cuts, silences or
/// delays them by the name of the instance that opened them. While the
/// process refuses connections, so does the relay.
class tcp_relay {
 public:
  /// `definition`: {"name","port","target"}.
  tcp_relay(boost::asio::io_context& io, const nlohmann::json& definition);

  bool Open();
  /// {"do":"cut"|"silence"|"delay"|"heal","from":NAME,...}; without "from"
  /// it holds for every instance.
  void Command(const nlohmann::json& command);
  nlohmann::json Summary() const;

 private:
  class session;
  struct fault {
    bool cut = false;     ///< Open connections are reset, new ones too.
    bool silent = false;  ///< New connections pass no byte.
    std::chrono::milliseconds delay{0};
  };

  void Accept();
  void CheckTarget();
  void OnTargetChecked(bool refused);
  const fault& FindFault(const std::string& from) const;

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint listen_endpoint_;
  boost::asio::ip::tcp::endpoint target_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::ip::tcp::socket check_socket_;
  boost::asio::steady_timer check_timer_;
  std::map<std::string, fault> faults_;
  std::unordered_set<session*> sessions_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_TCP_RELAY_H_
