#ifndef PAPAYAGLADE_TRANSPORT_HTTP_EXCHANGE_CHANNEL_H_
#define PAPAYAGLADE_TRANSPORT_HTTP_EXCHANGE_CHANNEL_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "coordination/answer_memory.h"
#include "protocol/entry_wire_format.h"
#include "transport/stream_socket.h"

namespace papayaglade {

/// The reason why an exchange on a channel failed.
enum class channel_failure {
  kNotConnected,  ///< The connect failed; no byte was sent.
  kBroken,        ///< The connection ended, or the answer is not valid HTTP.
};

/// An HTTP/1.1 client connection that runs one exchange at a time. Bytes that
/// arrive outside an exchange close the connection.
class http_exchange_channel
    : public answer_holder,
      public std::enable_shared_from_this<http_exchange_channel> {
 public:
  struct result {
    /// The failure; empty if `message` is complete.
    std::optional<channel_failure> failure;
    const char* why = "";  ///< Describes `failure`.
    /// The failure is that the body exceeds what is read of one answer.
    bool too_large = false;
    /// The answer; after a failure at most its head.
    upstream_message message;
    /// The head of the answer has been received.
    bool has_head = false;
  };
  using exchange_handler = std::function<void(result)>;

  /// The bytes of an answer count against `memory`, if there is one.
  http_exchange_channel(loop_context& loop, endpoint target,
                        std::chrono::milliseconds connect_timeout,
                        std::shared_ptr<answer_memory> memory = nullptr);
  ~http_exchange_channel() override;

  /// Sends `request`, connecting first if necessary, and passes the result to
  /// `done`. `is_head` marks a HEAD request, whose answer has no body.
  void Exchange(std::string request, bool is_head, exchange_handler done);

  /// Closes the connection without calling the handler of a running exchange.
  void Close();

  /// Ends the exchange in progress as broken, soon after this returns.
  void GiveUpAnswer() override;

  bool IsConnected() const { return connected_; }
  /// Returns true if the channel is connected, idle and kept alive, so that
  /// another exchange can follow.
  bool IsReusable() const;
  /// Returns the time after which the idle connection must not be used, taken
  /// from the server's Keep-Alive header or from a default.
  monotonic_time IdleDeadline() const { return idle_deadline_; }
  /// Returns the time at which the last exchange ended.
  monotonic_time LastUsed() const { return last_used_; }

 private:
  using parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void ResetParser();
  void OnBytes(std::string_view bytes);
  void OnEnd(boost::system::error_code failed);
  void Complete();
  void Fail(channel_failure failure, const char* why, bool too_large = false);
  /// Counts the received bytes that are kept against the memory.
  void CountMemory();
  void ReleaseMemory();
  void UpdateIdleDeadline(const upstream_message& message);

  loop_context& loop_;
  endpoint target_;
  std::chrono::milliseconds connect_timeout_;
  std::shared_ptr<answer_memory> memory_;
  std::shared_ptr<stream_socket> socket_;
  std::string request_;   ///< The request to send once connected.
  std::string unparsed_;  ///< Received bytes that were not parsed yet.
  std::uint64_t exchange_number_ = 0;
  int interim_answers_ = 0;  ///< Interim answers to the outstanding request.
  std::optional<parser> parser_;
  exchange_handler done_;  ///< Handler of the exchange; empty while none runs.
  monotonic_time idle_deadline_;
  monotonic_time last_used_;
  bool is_head_ = false;
  bool connected_ = false;
  bool closed_ = false;
  bool keep_alive_ = true;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_HTTP_EXCHANGE_CHANNEL_H_
