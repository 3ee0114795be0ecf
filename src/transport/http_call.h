#ifndef PAPAYAGLADE_TRANSPORT_HTTP_CALL_H_
#define PAPAYAGLADE_TRANSPORT_HTTP_CALL_H_

#include <chrono>

#include "protocol/http_message.h"
#include "state/identity.h"
#include "transport/http_connection.h"

namespace papayaglade {

/// Makes one HTTP call and blocks until it ends. Intended for command-line
/// programs. `timeout` applies to the connect and to the exchange separately.
http_connection::outcome CallHttp(const endpoint& target, http_request request,
                                  std::chrono::milliseconds timeout);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_HTTP_CALL_H_
