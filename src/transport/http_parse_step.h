#ifndef PAPAYAGLADE_TRANSPORT_HTTP_PARSE_STEP_H_
#define PAPAYAGLADE_TRANSPORT_HTTP_PARSE_STEP_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstddef>
#include <new>
#include <stdexcept>
#include <string_view>

namespace papayaglade {

/// Passes `bytes` to `parser` and returns how many it consumed. A field that
/// the parser cannot store is reported as header_limit, like a head that is too
/// large.
template <typename Parser>
std::size_t ParseStep(Parser& parser, std::string_view bytes,
                      boost::system::error_code& failed) {
  try {
    return parser.put(boost::asio::buffer(bytes.data(), bytes.size()), failed);
  } catch (const std::length_error&) {
    failed = boost::beast::http::error::header_limit;
  } catch (const std::bad_alloc&) {
    failed = boost::beast::http::error::header_limit;
  }
  return 0;
}

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_HTTP_PARSE_STEP_H_
