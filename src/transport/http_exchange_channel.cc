#include "transport/http_exchange_channel.h"

#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <charconv>
#include <utility>

#include "transport/http_parse_step.h"

namespace papayaglade {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 8ULL * 1024 * 1024;
constexpr std::uint32_t kMaxHeaderBytes = 64 * 1024;
// Bytes that the parser cannot use yet, such as a part of a chunk header.
constexpr std::size_t kMaxUnparsedBytes = 64UL * 1024;
constexpr int kMaxInterimAnswers = 8;
constexpr int kMinStatus = 100;
constexpr int kSwitchingProtocols = 101;
constexpr int kMinFinalStatus = 200;
// Applies if the server sends no "Keep-Alive: timeout" parameter.
constexpr std::chrono::seconds kDefaultIdleTimeout{30};
// An idle connection is not used this shortly before the server may close it.
constexpr std::chrono::milliseconds kIdleTimeoutMargin{500};

// The parser decodes chunks only and takes the bytes of every other transfer
// coding for the body. No request asks for an upgrade.
bool IsUnderstood(const upstream_message& message) {
  const auto status = static_cast<int>(message.result_int());
  if (status < kMinStatus || status == kSwitchingProtocols) return false;
  const auto codings = message.count(http::field::transfer_encoding);
  return codings == 0 ||
         (codings == 1 &&
          boost::beast::iequals(message[http::field::transfer_encoding],
                                "chunked"));
}

}  // namespace

http_exchange_channel::http_exchange_channel(
    loop_context& loop, endpoint target,
    std::chrono::milliseconds connect_timeout,
    std::shared_ptr<answer_memory> memory)
    : loop_(loop),
      target_(std::move(target)),
      connect_timeout_(connect_timeout),
      memory_(std::move(memory)) {}

http_exchange_channel::~http_exchange_channel() { ReleaseMemory(); }

void http_exchange_channel::Exchange(std::string request, bool is_head,
                                     exchange_handler done) {
  request_ = std::move(request);
  is_head_ = is_head;
  done_ = std::move(done);
  interim_answers_ = 0;
  ++exchange_number_;
  if (!connected_) return Connect();
  ResetParser();
  socket_->Write(std::move(request_));
}

void http_exchange_channel::Close() {
  if (closed_) return;
  closed_ = true;
  done_ = nullptr;
  ReleaseMemory();
  if (socket_ != nullptr) socket_->Close();
}

bool http_exchange_channel::IsReusable() const {
  return connected_ && !closed_ && keep_alive_ && !done_ &&
         !socket_->HasFailedWrite();
}

void http_exchange_channel::Connect() {
  socket_ = std::make_shared<stream_socket>(loop_);
  std::weak_ptr<http_exchange_channel> weak = weak_from_this();
  socket_->SetHandlers({[weak](std::string_view bytes) {
                          if (const auto self = weak.lock())
                            self->OnBytes(bytes);
                        },
                        [weak](error_code failed) {
                          if (const auto self = weak.lock())
                            self->OnEnd(failed);
                        },
                        nullptr});
  socket_->Connect(
      target_, connect_timeout_,
      [self = shared_from_this()](error_code failed) {
        if (self->closed_) return;
        if (failed) {
          const bool late = failed == boost::asio::error::timed_out;
          return self->Fail(channel_failure::kNotConnected,
                            late ? "connect timeout" : "connect refused");
        }
        self->connected_ = true;
        self->ResetParser();
        self->socket_->Write(std::move(self->request_));
      });
}

void http_exchange_channel::ResetParser() {
  parser_.emplace();
  parser_->body_limit(kMaxBodyBytes);
  parser_->header_limit(kMaxHeaderBytes);
  parser_->eager(true);
  parser_->skip(is_head_);
}

void http_exchange_channel::OnBytes(std::string_view bytes) {
  if (!done_) {
    // No request is outstanding: this is a second answer or stray data.
    return OnEnd({});
  }
  unparsed_.append(bytes);
  while (!unparsed_.empty()) {
    error_code failed;
    const std::size_t used = ParseStep(*parser_, unparsed_, failed);
    unparsed_.erase(0, used);
    CountMemory();
    if (failed == http::error::need_more) {
      if (unparsed_.size() <= kMaxUnparsedBytes) return;
      return Fail(channel_failure::kBroken, "bytes without end");
    }
    if (failed == http::error::body_limit)
      return Fail(channel_failure::kBroken, "answer too large", true);
    if (failed) return Fail(channel_failure::kBroken, "not an HTTP answer");
    if (!parser_->is_done()) continue;
    if (!IsUnderstood(parser_->get())) {
      return Fail(channel_failure::kBroken, "not an HTTP answer");
    }
    if (parser_->get().result_int() < kMinFinalStatus) {
      if (++interim_answers_ > kMaxInterimAnswers) {
        return Fail(channel_failure::kBroken, "interim answers without end");
      }
      ResetParser();
      continue;
    }
    return Complete();
  }
}

void http_exchange_channel::OnEnd(error_code failed) {
  if (!done_) return Close();
  // An answer without a length is complete only after an orderly shutdown.
  if (!failed && parser_.has_value() && parser_->got_some()) {
    error_code incomplete;
    parser_->put_eof(incomplete);
    const bool whole = !incomplete && parser_->is_done();
    if (whole && IsUnderstood(parser_->get())) return Complete();
  }
  Fail(channel_failure::kBroken, failed ? "connection reset" : "cut short");
}

void http_exchange_channel::Complete() {
  result finished;
  keep_alive_ = parser_->keep_alive() && unparsed_.empty();
  finished.message = parser_->release();
  finished.has_head = true;
  UpdateIdleDeadline(finished.message);
  parser_.reset();
  ReleaseMemory();
  const exchange_handler done = std::exchange(done_, nullptr);
  const auto self = shared_from_this();
  done(std::move(finished));
}

void http_exchange_channel::Fail(channel_failure failure, const char* why,
                                 bool too_large) {
  const exchange_handler done = std::exchange(done_, nullptr);
  const auto self = shared_from_this();
  Close();
  result failed;
  failed.failure = failure;
  failed.why = why;
  failed.too_large = too_large;
  if (parser_.has_value() && parser_->is_header_done()) {
    failed.message.base() = parser_->get().base();
    failed.has_head = true;
  }
  if (done) done(std::move(failed));
}

// Another exchange may be at work on its own answer just now, so this one ends
// later, unless it has ended until then.
void http_exchange_channel::GiveUpAnswer() {
  boost::asio::post(
      loop_.Io(), [weak = weak_from_this(), exchange = exchange_number_] {
        const auto self = weak.lock();
        if (self == nullptr || !self->done_) return;
        if (self->exchange_number_ != exchange) return;
        self->Fail(channel_failure::kBroken, "no memory for the answer");
      });
}

void http_exchange_channel::CountMemory() {
  if (memory_ == nullptr) return;
  memory_->Resize(*this,
                  unparsed_.capacity() + parser_->get().body().capacity());
}

void http_exchange_channel::ReleaseMemory() {
  if (memory_ != nullptr) memory_->Release(*this);
}

void http_exchange_channel::UpdateIdleDeadline(
    const upstream_message& message) {
  last_used_ = loop_context::Now();
  idle_deadline_ = last_used_ + kDefaultIdleTimeout;
  const auto keep_alive_header = message[http::field::keep_alive];
  const auto position = keep_alive_header.find("timeout=");
  if (position == boost::beast::string_view::npos) return;
  constexpr std::size_t kParameterNameBytes = 8;
  int seconds = 0;
  const char* begin = keep_alive_header.data() + position + kParameterNameBytes;
  const auto parsed = std::from_chars(
      begin, keep_alive_header.data() + keep_alive_header.size(), seconds);
  if (parsed.ec != std::errc()) return;
  idle_deadline_ =
      loop_context::Now() + std::chrono::seconds(seconds) - kIdleTimeoutMargin;
}

}  // namespace papayaglade
