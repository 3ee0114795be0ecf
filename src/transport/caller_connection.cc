#include "transport/caller_connection.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <utility>

#include "transport/http_parse_step.h"

namespace papayaglade {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Reading pauses while more than this waits for the answers before it.
constexpr std::size_t kMaxPipelinedBytes = 256 * 1024;
// Other connections get their turn after this many requests of one.
constexpr int kMaxRequestsInTurn = 32;
// Closing a connection with unread bytes resets it, which destroys an answer
// on its way. After the last answer, bytes are therefore read and dropped until
// the caller closes the connection, within these limits.
constexpr std::size_t kMaxDroppedBytes = 16UL * 1024 * 1024;
constexpr std::chrono::milliseconds kCloseDelay{1000};
// A body without a known length is given memory in steps.
constexpr std::size_t kBodyStep = 16UL * 1024;
// Idle connections keep no larger buffer.
constexpr std::size_t kMaxIdleBufferBytes = 4096;

}  // namespace

caller_connection::caller_connection(loop_context& loop,
                                     boost::asio::ip::tcp::socket socket,
                                     owner& owner)
    : loop_(loop),
      socket_(std::make_shared<stream_socket>(loop, std::move(socket))),
      owner_(owner),
      body_memory_(owner.RequestMemory()),
      pipelined_memory_(owner.RequestMemory()) {}

void caller_connection::Start() {
  const std::weak_ptr<caller_connection> weak = weak_from_this();
  socket_->SetHandlers({[weak](std::string_view bytes) {
                          if (const auto self = weak.lock())
                            self->OnBytes(bytes);
                        },
                        [weak](error_code failed) {
                          if (const auto self = weak.lock())
                            self->OnEnd(failed);
                        },
                        [weak] {
                          if (const auto self = weak.lock()) self->OnWritten();
                        }});
  ResetParser();
  ArmTimeout(owner_.Limits().idle_timeout);
  socket_->StartReading();
}

void caller_connection::Respond(std::string bytes, bool close) {
  if (closed_) return;
  request_in_progress_ = false;
  body_memory_.Resize(0);
  on_disconnect_ = nullptr;
  close_after_response_ = close;
  const auto self = shared_from_this();
  ResetParser();
  ArmTimeout(owner_.Limits().idle_timeout);
  if (close) {
    dropped_bytes_ += received_.size() - consumed_;
    received_.clear();
    received_.shrink_to_fit();
    pipelined_memory_.Resize(0);
    consumed_ = 0;
    socket_->StartReading();
  }
  answer_unwritten_ = true;
  const std::size_t size = bytes.size();
  socket_->Write(std::move(bytes));
  undelivered_at_timeout_start_ = socket_->UndeliveredBytes();
  if (answer_unwritten_) HoldBytes(size);
}

bool caller_connection::IsIdle() const {
  return !request_in_progress_ && !close_after_response_ && received_.empty() &&
         !socket_->HasPendingWrite() && parser_.has_value() &&
         !parser_->got_some();
}

void caller_connection::CloseIfIdle() {
  const auto self = shared_from_this();
  while (IsIdle() && socket_->ReadArrived()) {
  }
  if (IsIdle()) Close();
}

void caller_connection::Close(connection_end end) {
  if (closed_) return;
  closed_ = true;
  end_ = end;
  if (timeout_.has_value()) loop_.Cancel(*timeout_);
  socket_->Close();
  const auto on_disconnect = std::exchange(on_disconnect_, nullptr);
  if (on_disconnect) on_disconnect();
  HoldBytes(0);
  body_memory_.Resize(0);
  pipelined_memory_.Resize(0);
  const auto on_unwritten = std::exchange(on_unwritten_, {});
  for (const auto& each : on_unwritten) each();
  ReportDropped();
  owner_.OnClosed(shared_from_this());
}

void caller_connection::ResetParser() {
  limits_ = owner_.Limits();
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.header_bytes));
  parser_->body_limit(limits_.body_bytes);
  parser_->eager(true);
  continue_sent_ = false;
}

void caller_connection::OnBytes(std::string_view bytes) {
  if (close_after_response_) return Drop(bytes.size());
  received_.append(bytes);
  TakeRequests();
}

bool caller_connection::MayTakeRequest() const {
  return !closed_ && !request_in_progress_ && !close_after_response_ &&
         !socket_->HasPendingWrite();
}

// An answer that is written at once leads back to this function, which goes on
// in its loop, because a call for each request would exhaust the stack.
void caller_connection::TakeRequests() {
  if (taking_requests_) return;
  const auto self = shared_from_this();
  taking_requests_ = true;
  needs_more_bytes_ = false;
  for (int taken = 0; taken < kMaxRequestsInTurn && MayTakeRequest(); ++taken) {
    ParseNext();
    if (needs_more_bytes_) break;
  }
  taking_requests_ = false;
  received_.erase(0, consumed_);
  consumed_ = 0;
  if (!closed_ && !close_after_response_) EndTurn();
}

void caller_connection::ParseNext() {
  while (consumed_ < received_.size()) {
    if (!parser_->got_some()) {
      // The limits may have changed since the last request ended.
      ResetParser();
      ArmTimeout(limits_.header_timeout);
    }
    error_code failed;
    std::string_view rest = received_;
    rest.remove_prefix(consumed_);
    const std::size_t used = ParseStep(*parser_, rest, failed);
    consumed_ += used;
    // The parser itself does not limit the size of chunk headers and trailers.
    const bool endless = failed == http::error::need_more &&
                         rest.size() - used > limits_.header_bytes;
    if (endless) failed = http::error::header_limit;
    const bool whole = !failed && parser_->is_done();
    const bool valid = whole || !failed || failed == http::error::need_more;
    if (valid && !ReserveBody()) return RefuseBody();
    if (whole || !valid) return Dispatch(failed);
    SendContinueIfExpected();
    if (failed == http::error::need_more) break;
  }
  needs_more_bytes_ = true;
}

void caller_connection::Dispatch(error_code failed) {
  request_in_progress_ = true;
  if (failed) {
    const bool too_large = failed == http::error::body_limit ||
                           failed == http::error::header_limit;
    return owner_.OnMalformed(shared_from_this(), too_large);
  }
  if (timeout_.has_value()) loop_.Cancel(*timeout_);
  timeout_.reset();
  owner_.OnRequest(shared_from_this(), parser_->release());
}

bool caller_connection::ReserveBody() {
  if (!parser_->is_header_done()) return true;
  const std::size_t received = parser_->get().body().size();
  const std::size_t in_steps =
      (received + kBodyStep - 1) / kBodyStep * kBodyStep;
  return body_memory_.Resize(
      static_cast<std::size_t>(parser_->content_length().value_or(in_steps)));
}

void caller_connection::RefuseBody() {
  request_in_progress_ = true;
  // Such a body can never be held, also if the caller tries again.
  const bool too_large =
      parser_->content_length().value_or(0) > owner_.RequestMemory()->Limit();
  if (too_large) return owner_.OnMalformed(shared_from_this(), true);
  const caller_message message = parser_->release();
  owner_.OnNoMemory(shared_from_this(), message);
}

// Bytes behind a request are read while there is memory for them. Those of the
// next request are needed in any case, and the limit of its head bounds them.
void caller_connection::EndTurn() {
  if (received_.empty() && received_.capacity() > kMaxIdleBufferBytes) {
    received_.shrink_to_fit();
  }
  const bool held = pipelined_memory_.Resize(received_.size());
  if (needs_more_bytes_ || (held && received_.size() <= kMaxPipelinedBytes)) {
    socket_->StartReading();
  } else {
    socket_->PauseReading();
  }
  if (needs_more_bytes_ || turn_scheduled_ || !MayTakeRequest()) return;
  turn_scheduled_ = true;
  boost::asio::post(loop_.Io(), [weak = weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr) return;
    self->turn_scheduled_ = false;
    self->TakeRequests();
  });
}

void caller_connection::SendContinueIfExpected() {
  if (continue_sent_ || !parser_->is_header_done()) return;
  const auto expected = parser_->get()[http::field::expect];
  if (!boost::beast::iequals(expected, "100-continue")) return;
  continue_sent_ = true;
  socket_->Write("HTTP/1.1 100 Continue\r\n\r\n");
}

// The caller's bytes wait in the kernel beyond the limit, so that the caller
// still has the time to read its answer.
void caller_connection::Drop(std::size_t bytes) {
  dropped_bytes_ += bytes;
  if (dropped_bytes_ > kMaxDroppedBytes) socket_->PauseReading();
}

// A caller that leaves waits for no answer to what it has sent only in part.
void caller_connection::ReportDropped() {
  if (!IsEndedByCaller(end_)) dropped_bytes_ += received_.size() - consumed_;
  const auto on_dropped = std::exchange(on_dropped_, nullptr);
  if (on_dropped && dropped_bytes_ > 0) on_dropped(dropped_bytes_);
}

void caller_connection::OnEnd(error_code failed) {
  Close(failed ? connection_end::kCallerReset : connection_end::kCallerClosed);
}

void caller_connection::OnWritten() {
  answer_unwritten_ = false;
  on_unwritten_.clear();
  HoldBytes(0);
  if (request_in_progress_ || closed_) return;
  const bool was_pending = std::exchange(undelivered_at_timeout_start_, 0) > 0;
  if (was_pending) ArmTimeout(owner_.Limits().idle_timeout);
  if (!close_after_response_) return TakeRequests();
  socket_->EndWriting();
  socket_->StartReading();
  ArmTimeout(kCloseDelay);
}

void caller_connection::HoldBytes(std::size_t bytes) {
  if (bytes == held_bytes_) return;
  owner_.OnHeldBytes(*this, std::exchange(held_bytes_, bytes), bytes);
}

void caller_connection::ArmTimeout(std::chrono::milliseconds delay) {
  if (timeout_.has_value()) loop_.Cancel(*timeout_);
  const std::weak_ptr<caller_connection> weak = weak_from_this();
  timeout_ = loop_.ScheduleAfter(delay, [weak](monotonic_time) {
    if (const auto self = weak.lock()) self->OnTimeout();
  });
}

void caller_connection::OnTimeout() {
  timeout_.reset();
  if (socket_->HasPendingWrite()) {
    // A caller that reads its answer slowly is still there.
    const std::size_t pending = socket_->UndeliveredBytes();
    if (pending >= undelivered_at_timeout_start_)
      return Close(connection_end::kTimeout);
    undelivered_at_timeout_start_ = pending;
    return ArmTimeout(owner_.Limits().idle_timeout);
  }
  // The loop may have been held up while the bytes arrived that end the wait.
  const auto waits = [this] {
    return !closed_ && !request_in_progress_ && !timeout_.has_value();
  };
  while (waits() && !close_after_response_ && socket_->ReadArrived()) {
  }
  if (waits()) Close(connection_end::kTimeout);
}

}  // namespace papayaglade
