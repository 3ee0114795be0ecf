#ifndef PAPAYAGLADE_TRANSPORT_CONNECTION_REFUSAL_CHECK_H_
#define PAPAYAGLADE_TRANSPORT_CONNECTION_REFUSAL_CHECK_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

#include "state/identity.h"

namespace papayaglade {

/// Finds out whether `target` refuses connections, by connecting to it and
/// closing at once. Calls `done` on the thread of `io`. `refused` is also false
/// if the connect times out or `target` is not an IP address.
void CheckConnectionRefused(boost::asio::io_context& io, const endpoint& target,
                            std::chrono::milliseconds timeout,
                            std::function<void(bool refused)> done);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_CONNECTION_REFUSAL_CHECK_H_
