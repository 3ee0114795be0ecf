#ifndef PAPAYAGLADE_TRANSPORT_CONNECTION_REFUSAL_CHECK_H_
#define PAPAYAGLADE_TRANSPORT_CONNECTION_REFUSAL_CHECK_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

#include "state/identity.h"

namespace papayaglade {

/// Connects to `target` and closes at once, to learn whether it refuses.
/// `done` is called on the thread of `io`; false also when nothing answers
/// within `timeout`.
void CheckConnectionRefused(boost::asio::io_context& io, const endpoint& target,
                            std::chrono::milliseconds timeout,
                            std::function<void(bool refused)> done);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TRANSPORT_CONNECTION_REFUSAL_CHECK_H_
