#ifndef PAPAYAGLADE_TRANSPORT_HTTP_CONNECTION_H_
#define PAPAYAGLADE_TRANSPORT_HTTP_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "protocol/http_message.h"
#include "state/identity.h"

namespace papayaglade {

/// The kind of failure of a client connection or one of its exchanges.
enum class http_failure {
  kRefused,    ///< The address refused the connection; nothing was sent.
  kTimedOut,   ///< The connect or the exchange exceeded its timeout.
  kReset,      ///< The connection closed or failed during the exchange.
  kMalformed,  ///< The reply is not valid HTTP or is too large.
};

/// An HTTP/1.1 client connection that runs one exchange at a time. All calls
/// and callbacks run on the thread of the io_context. No callback runs after
/// Close.
class http_connection : public std::enable_shared_from_this<http_connection> {
 public:
  /// Result of an exchange. The other members are valid if `failure` is empty.
  struct outcome {
    std::optional<http_failure> failure;
    int status = 0;
    std::string body;
    bool keep_alive = false;  ///< The connection can carry another exchange.
  };
  using connect_handler = std::function<void(std::optional<http_failure>)>;
  using exchange_handler = std::function<void(outcome)>;

  explicit http_connection(boost::asio::io_context& io);

  /// Connects to `target` and passes the failure, if any, to `done`. A
  /// `timeout` of zero means no timeout.
  void Connect(const endpoint& target, std::chrono::milliseconds timeout,
               connect_handler done);
  /// Sends `request` on the connected stream and passes the outcome to `done`.
  /// A `timeout` of zero means no timeout.
  void Exchange(http_request request, std::chrono::milliseconds timeout,
                exchange_handler done);
  void Close();

 private:
  using parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void SetTimeout(std::chrono::milliseconds timeout);
  void Read();
  void Finish(outcome result);

  boost::beast::tcp_stream stream_;
  boost::beast::flat_buffer buffer_;
  boost::beast::http::request<boost::beast::http::string_body> request_;
  std::optional<parser> parser_;
  exchange_handler done_;
  bool closed_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_HTTP_CONNECTION_H_
