#ifndef PAPAYAGLADE_TRANSPORT_HTTP_EXCHANGE_CHANNEL_H_
#define PAPAYAGLADE_TRANSPORT_HTTP_EXCHANGE_CHANNEL_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/entry_wire_format.h"
#include "transport/stream_socket.h"

namespace papayaglade {

/// How an exchange on a channel ended without an answer.
enum class channel_failure {
  kNotConnected,  ///< No connection came about: no byte has left.
  kBroken,        ///< It ended, or brought what is no HTTP answer.
};

/// One HTTP/1.1 client connection: one exchange at a time, and any byte that
/// belongs to none ends it.
class http_exchange_channel
    : public std::enable_shared_from_this<http_exchange_channel> {
 public:
  struct result {
    std::optional<channel_failure> failure;
    const char* why = "";
    upstream_message message;
  };
  using exchange_handler = std::function<void(result)>;

  http_exchange_channel(loop_context& loop, endpoint target,
                        std::chrono::milliseconds connect_timeout);

  /// Connects first if need be. `is_head`: the answer has no body.
  void Exchange(std::string request, bool is_head, exchange_handler done);

  /// Ends without calling the handlers.
  void Close();

  /// Whether another exchange may follow.
  bool IsReusable() const;
  /// Until when the far end keeps the idle connection, as far as it says.
  monotonic_time IdleDeadline() const { return idle_deadline_; }
  /// When the last exchange ended.
  monotonic_time LastUsed() const { return last_used_; }

 private:
  using parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void ResetParser();
  void OnBytes(std::string_view bytes);
  void OnEnd(boost::system::error_code failed);
  void Complete();
  void Fail(channel_failure failure, const char* why);
  void UpdateIdleDeadline(const upstream_message& message);

  loop_context& loop_;
  endpoint target_;
  std::chrono::milliseconds connect_timeout_;
  std::shared_ptr<stream_socket> socket_;
  std::string request_;
  std::string unparsed_;
  std::optional<parser> parser_;
  exchange_handler done_;
  monotonic_time idle_deadline_;
  monotonic_time last_used_;
  bool is_head_ = false;
  bool connected_ = false;
  bool closed_ = false;
  bool keep_alive_ = true;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_HTTP_EXCHANGE_CHANNEL_H_
