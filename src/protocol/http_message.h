#ifndef PAPAYAGLADE_PROTOCOL_HTTP_MESSAGE_H_
#define PAPAYAGLADE_PROTOCOL_HTTP_MESSAGE_H_

#include <string>

namespace papayaglade {

/// The parts of an HTTP request that the codecs use.
struct http_request {
  std::string method;
  std::string target;
  std::string content_type;  ///< Content type as received; unused when sending.
  std::string body;
};

/// The parts of an HTTP response that the codecs use.
struct http_response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
  std::string request_id = {};  ///< Names the request in logs; not sent.
};

/// Percent-encodes `text` for use in one segment of a request target.
std::string EscapeTarget(const std::string& text);

/// Reverses EscapeTarget. A malformed escape is kept unchanged.
std::string UnescapeTarget(const std::string& text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_HTTP_MESSAGE_H_
