#ifndef PAPAYAGLADE_PROTOCOL_HTTP_MESSAGE_H_
#define PAPAYAGLADE_PROTOCOL_HTTP_MESSAGE_H_

#include <string>

namespace papayaglade {

/// The parts of an HTTP request that our formats use.
struct http_request {
  std::string method;
  std::string target;
  std::string content_type;  ///< As received; unused when sending.
  std::string body;
};

/// The parts of an HTTP response that our formats use.
struct http_response {
  int status = 200;
  std::string content_type = "application/json";
  std::string body;
};

/// Escapes `text` for use inside one segment of a request target.
std::string EscapeTarget(const std::string& text);

/// Undoes EscapeTarget; a malformed escape is kept as it is.
std::string UnescapeTarget(const std::string& text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_HTTP_MESSAGE_H_
