#include "transport/platform_connection_pool.h"

#include <glog/logging.h>

#include <utility>

#include "protocol/platform_codec.h"

namespace papayaglade {

namespace {

constexpr std::size_t kInboxCapacity = 4096;
constexpr std::size_t kMaxIdleConnections = 8;

// The platform may hold a watch for its whole wait time, so that time is added
// to the timeout.
std::chrono::milliseconds ExchangeTimeout(const platform_call& call) {
  const auto* watch = std::get_if<platform_watch>(&call.operation);
  return watch == nullptr ? call.timeout : call.timeout + watch->wait;
}

platform_reply MakeFailedReply(const platform_call& call,
                               platform_status status) {
  platform_reply reply;
  reply.call_id = call.call_id;
  reply.status = status;
  return reply;
}

}  // namespace

platform_connection_pool::platform_connection_pool(const endpoint& platform,
                                                   control_ring& control,
                                                   router_ring& router)
    : platform_(platform),
      control_(control),
      router_(router),
      thread_("platform"),
      inbox_(thread_.Io(), kInboxCapacity,
             [this](const queued_call& item) { StartCall(item); }) {}

platform_connection_pool::~platform_connection_pool() { Stop(); }

void platform_connection_pool::Start() { thread_.Start(); }

void platform_connection_pool::Stop() { thread_.Stop(); }

bool platform_connection_pool::CallFromControl(platform_call call) {
  return inbox_.TryPush({origin::kControl, std::move(call)});
}

bool platform_connection_pool::CallFromRouter(platform_call call) {
  return inbox_.TryPush({origin::kRouter, std::move(call)});
}

void platform_connection_pool::StartCall(const queued_call& item) {
  if (!idle_connections_.empty()) {
    const connection_pointer connection = std::move(idle_connections_.back());
    idle_connections_.pop_back();
    return Exchange(item, connection);
  }
  const auto connection = std::make_shared<http_connection>(thread_.Io());
  connection->Connect(
      platform_, item.call.timeout,
      [this, item, connection](std::optional<http_failure> failure) {
        if (failure.has_value()) {
          return DeliverReply(
              item.from,
              MakeFailedReply(item.call, platform_status::kUnreachable));
        }
        Exchange(item, connection);
      });
}

void platform_connection_pool::Exchange(const queued_call& item,
                                        const connection_pointer& connection) {
  connection->Exchange(
      FormatPlatformCall(item.call.operation), ExchangeTimeout(item.call),
      [this, item, connection](const http_connection::outcome& outcome) {
        if (outcome.failure.has_value()) {
          connection->Close();
          // The other idle connections are as old as this one and may have
          // failed too.
          idle_connections_.clear();
          return DeliverReply(
              item.from, MakeFailedReply(item.call, platform_status::kLost));
        }
        if (outcome.keep_alive &&
            idle_connections_.size() < kMaxIdleConnections) {
          idle_connections_.push_back(connection);
        }
        platform_reply reply = ParsePlatformReply(item.call.operation,
                                                  outcome.status, outcome.body);
        reply.call_id = item.call.call_id;
        DeliverReply(item.from, reply);
      });
}

void platform_connection_pool::DeliverReply(origin from,
                                            const platform_reply& reply) {
  // A reply that does not fit into the ring is dropped. Both workers handle
  // this like a lost reply, because their calls time out.
  const bool delivered = from == origin::kControl
                             ? control_.TryPush(platform_event{reply})
                             : router_.TryPush(platform_event{reply});
  if (!delivered) LOG(WARNING) << "event=platform_reply_dropped";
}

}  // namespace papayaglade
