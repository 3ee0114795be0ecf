#ifndef PAPAYAGLADE_PROTOCOL_ENTRY_WIRE_FORMAT_H_
#define PAPAYAGLADE_PROTOCOL_ENTRY_WIRE_FORMAT_H_

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <string>
#include <variant>

#include "state/entry_messages.h"

namespace papayaglade {

using caller_message =
    boost::beast::http::request<boost::beast::http::string_body>;
using upstream_message =
    boost::beast::http::response<boost::beast::http::string_body>;

/// How requests and answers look to callers and upstreams. An implementation
/// knows the names that they use; nobody else does.
class entry_wire_format {
 public:
  virtual ~entry_wire_format() = default;

  /// The request in our terms, or why it cannot be passed on.
  virtual std::variant<entry_request, refused_answer> DecodeRequest(
      const caller_message& message) const = 0;

  /// The bytes that put one attempt of `request` to an upstream.
  virtual std::string EncodeAttempt(const entry_request& request,
                                    std::chrono::milliseconds time_left,
                                    const std::string& upstream) const = 0;

  /// Judges an upstream's answer to an attempt of `request`.
  virtual attempt_result DecodeReply(upstream_message message,
                                     const entry_request& request,
                                     bool part_of_fanout) const = 0;

  /// The bytes of the answer to a caller.
  virtual std::string EncodeAnswer(const entry_answer& answer, bool head,
                                   bool keep_alive) const = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_ENTRY_WIRE_FORMAT_H_
