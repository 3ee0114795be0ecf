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

/// The HTTP format of requests and answers, for callers and for upstreams. Only
/// implementations of this interface know the header names in use.
class entry_wire_format {
 public:
  virtual ~entry_wire_format() = default;

  /// Decodes a caller's request. Returns a refused_answer if it cannot be
  /// forwarded.
  virtual std::variant<entry_request, refused_answer> DecodeRequest(
      const caller_message& message) const = 0;

  /// Returns the bytes that send one attempt of `request` to `upstream`.
  virtual std::string EncodeAttempt(const entry_request& request,
                                    std::chrono::milliseconds time_left,
                                    const std::string& upstream) const = 0;

  /// Classifies an upstream's answer to an attempt of `request`.
  virtual attempt_result DecodeReply(upstream_message message,
                                     const entry_request& request,
                                     bool part_of_fanout) const = 0;

  /// Returns what the upstream says about itself in the head of an answer. The
  /// body may be incomplete.
  virtual upstream_notice DecodeNotice(
      const upstream_message& message) const = 0;

  /// Returns the bytes of the answer to a caller. `head` is true for a HEAD
  /// request, whose answer has no body.
  virtual std::string EncodeAnswer(const entry_answer& answer, bool head,
                                   bool keep_alive) const = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_ENTRY_WIRE_FORMAT_H_
