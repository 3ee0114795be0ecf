#ifndef PAPAYAGLADE_TRANSPORT_CALLER_CONNECTION_H_
#define PAPAYAGLADE_TRANSPORT_CALLER_CONNECTION_H_

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/memory_budget.h"
#include "protocol/entry_wire_format.h"
#include "state/route.h"
#include "transport/connection_end.h"
#include "transport/stream_socket.h"

namespace papayaglade {

/// Serves one HTTP/1.1 connection of a caller. Requests are processed one at a
/// time and answered in order.
class caller_connection
    : public std::enable_shared_from_this<caller_connection> {
 public:
  /// Interface to the port that accepted the connection.
  class owner {
   public:
    virtual ~owner() = default;
    virtual caller_limits Limits() const = 0;
    /// Called when a complete request has been received. The owner answers it
    /// with Respond, during this call or later.
    virtual void OnRequest(const std::shared_ptr<caller_connection>& from,
                           caller_message message) = 0;
    /// Called when the received bytes are not a valid request or, if
    /// `too_large` is set, exceed a size limit. The owner answers with Respond
    /// and `close` set.
    virtual void OnMalformed(const std::shared_ptr<caller_connection>& from,
                             bool too_large) = 0;
    /// Called when there is no memory for the body of a request, of which
    /// `message` holds the head. The owner answers with Respond and `close`
    /// set.
    virtual void OnNoMemory(const std::shared_ptr<caller_connection>& from,
                            const caller_message& message) = 0;
    /// Returns the budget for the requests of all connections.
    virtual const std::shared_ptr<memory_budget>& RequestMemory() const = 0;
    /// Called when the memory that holds an unwritten answer of the connection
    /// changes from `before` bytes to `after`. May close other connections.
    virtual void OnHeldBytes(const caller_connection& of, std::size_t before,
                             std::size_t after) = 0;
    /// Returns false if no more requests may be run, because callers do not
    /// read their answers.
    virtual bool HasRoomForAnswers() const = 0;
    /// Called once, after the connection has closed.
    virtual void OnClosed(const std::shared_ptr<caller_connection>& from) = 0;
  };

  caller_connection(loop_context& loop, boost::asio::ip::tcp::socket socket,
                    owner& owner);

  /// Starts reading requests.
  void Start();

  /// Returns true if bytes behind the request in progress have been received.
  bool HasReceivedMore() const { return consumed_ < received_.size(); }

  /// Sends the complete answer `bytes`. If `close` is set, ends the connection
  /// after they have been written: what the caller still sends is dropped, and
  /// the connection is closed when the caller closes it or soon after.
  void Respond(std::string bytes, bool close);

  /// Sets a handler that is called if the connection closes before Respond.
  /// Respond clears the handler, so it must be set for each request.
  void SetOnDisconnect(std::function<void()> on_disconnect) {
    on_disconnect_ = std::move(on_disconnect);
  }

  /// Sets a handler that is called if the connection closes and received bytes
  /// have been dropped, as they follow the last answer. It replaces the one
  /// before and may be empty.
  void SetOnDropped(std::function<void(std::size_t bytes)> on_dropped) {
    on_dropped_ = std::move(on_dropped);
  }

  /// Returns false if a request should be refused rather than run, because the
  /// callers of the port do not read their answers.
  bool HasRoomForAnswers() const { return owner_.HasRoomForAnswers(); }

  /// Returns true if the last answer is not wholly in the kernel yet.
  bool HasUnwrittenAnswer() const { return answer_unwritten_; }
  /// Returns when the kernel last accepted bytes of the unwritten answer.
  monotonic_time LastWrite() const { return socket_->LastWrite(); }
  /// Adds a handler that is called if the connection closes before the last
  /// answer is written. It is dropped once the answer is written.
  void AddOnUnwritten(std::function<void()> on_unwritten) {
    if (answer_unwritten_) on_unwritten_.push_back(std::move(on_unwritten));
  }

  /// Returns true if no request is in progress, the last answer has been
  /// written, and nothing has been received since.
  bool IsIdle() const;
  /// Reads what has arrived, and closes the connection if it is idle after
  /// that.
  void CloseIfIdle();
  /// Closes the connection at once and calls OnClosed.
  void Close(connection_end end = connection_end::kInstance);
  /// Returns why the connection ended. Valid in the handlers that tell of it.
  connection_end End() const { return end_; }

 private:
  using parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Prepares for a request under the limits that are in force.
  void ResetParser();
  void OnBytes(std::string_view bytes);
  /// Returns true if the next request may be taken: the one before has been
  /// answered and its answer written.
  bool MayTakeRequest() const;
  /// Takes the requests that were received, one after the other, up to a limit
  /// for this turn of the loop. The rest follows in later turns.
  void TakeRequests();
  /// Parses until one request is taken, or until more bytes are needed.
  void ParseNext();
  void Dispatch(boost::system::error_code failed);
  /// Reserves memory for the body of the request that is received. Returns
  /// false if there is none.
  bool ReserveBody();
  /// Refuses the request that is received, because there is no memory for its
  /// body.
  void RefuseBody();
  /// Goes on with what is left after a turn: waits for more bytes, or takes
  /// more requests in another turn.
  void EndTurn();
  /// Drops bytes that arrive after the last request.
  void Drop(std::size_t bytes);
  void OnEnd(boost::system::error_code failed);
  /// Calls the handler of dropped bytes if there are any.
  void ReportDropped();
  void OnWritten();
  void HoldBytes(std::size_t bytes);
  void ArmTimeout(std::chrono::milliseconds delay);
  void OnTimeout();
  void SendContinueIfExpected();

  loop_context& loop_;
  std::shared_ptr<stream_socket> socket_;
  owner& owner_;
  std::optional<parser> parser_;
  caller_limits limits_;  ///< Of the request that is read, or comes next.
  /// Received bytes, of which the parser has consumed the first `consumed_`.
  std::string received_;
  std::size_t consumed_ = 0;
  /// Memory of the body that is received or whose request is in progress.
  memory_budget::reservation body_memory_;
  /// Memory of the received bytes behind the request in progress.
  memory_budget::reservation pipelined_memory_;
  std::function<void()> on_disconnect_;
  std::vector<std::function<void()>> on_unwritten_;
  std::function<void(std::size_t bytes)> on_dropped_;
  connection_end end_ = connection_end::kInstance;
  /// Timer of the header, idle or write timeout; empty if none is running.
  std::optional<timer_queue::id> timeout_;
  std::size_t dropped_bytes_ = 0;
  std::size_t held_bytes_ = 0;  ///< Size of the answer that is not written.
  /// Undelivered bytes when the timeout was started.
  std::size_t undelivered_at_timeout_start_ = 0;
  bool taking_requests_ = false;  ///< TakeRequests is running.
  bool needs_more_bytes_ = true;  ///< No whole request has been received.
  bool turn_scheduled_ = false;
  bool request_in_progress_ = false;
  bool close_after_response_ = false;
  bool answer_unwritten_ = false;
  bool continue_sent_ = false;  ///< "100 Continue" was sent for this request.
  bool closed_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_CALLER_CONNECTION_H_
