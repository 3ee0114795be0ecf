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
  void SetOnGone(std::function<void()> on_gone) {
    on_gone_ = std::move(on_gone);
  }

  /// Nothing was received since the last answer.
  bool Idle() const;
  void Close();

 private:
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  void BeginParser();
  void OnBytes(std::string_view bytes);
  void ParseMore();
  void OnEnd();
  void OnWritten();
  void ArmTimeout(std::chrono::milliseconds delay);
  void ContinueIfAsked();

  loop_context& loop_;
  std::shared_ptr<stream_socket> socket_;
  owner& owner_;
  std::optional<parser> parser_;
  std::string unparsed_;
  std::function<void()> on_gone_;
  std::optional<wake_queue::id> timeout_;
  bool busy_ = false;
  bool close_after_ = false;
  bool continued_ = false;
  bool closed_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_CALLER_CONNECTION_H_
