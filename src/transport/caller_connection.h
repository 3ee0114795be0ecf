#ifndef PAPAYAGLADE_TRANSPORT_CALLER_CONNECTION_H_
#define PAPAYAGLADE_TRANSPORT_CALLER_CONNECTION_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/entry_wire_format.h"
#include "state/route.h"
#include "transport/stream_socket.h"

namespace papayaglade {

/// One connection of a caller: one request at a time, answered in order.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  /// What a connection needs of the port that accepted it.
  class owner {
   public:
    virtual ~owner() = default;
    virtual caller_limits Limits() const = 0;
    /// A whole request has come; answer it by Respond, now or later.
    virtual void OnRequest(const std::shared_ptr<caller_connection>& from,
                           caller_message message) = 0;
    /// What came is no request: answer it, and the connection closes.
    virtual void OnMalformed(const std::shared_ptr<caller_connection>& from,
                             bool too_large) = 0;
    virtual void OnClosed(const std::shared_ptr<caller_connection>& from) = 0;
  };

  caller_connection(loop_context& loop, boost::asio::ip::tcp::socket socket,
                    owner& owner);

  void Start();

  /// Sends the answer; with `close` the connection ends after it.
  void Respond(std::string bytes, bool close);

  /// Called if the caller leaves before Respond; set anew for each request.
  void SetOnDisconnect(std::function<void()> on_disconnect) {
    on_disconnect_ = std::move(on_disconnect);
  }

  /// Nothing was received since the last answer.
  bool IsIdle() const;
  void Close();

 private:
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void ResetParser();
  void OnBytes(std::string_view bytes);
  void ParseMore();
  void OnEnd();
  void OnWritten();
  void ArmTimeout(std::chrono::milliseconds delay);
  void SendContinueIfExpected();

  loop_context& loop_;
  std::shared_ptr<stream_socket> socket_;
  owner& owner_;
  std::optional<parser> parser_;
  std::string unparsed_;
  std::function<void()> on_disconnect_;
  std::optional<timer_queue::id> timeout_;
  bool request_in_progress_ = false;
  bool close_after_response_ = false;
  bool continue_sent_ = false;
  bool closed_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_CALLER_CONNECTION_H_
