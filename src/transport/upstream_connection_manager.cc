#include "transport/upstream_connection_manager.h"

#include <utility>

#include "state/overloaded.h"

namespace papayaglade {

namespace {

constexpr std::size_t kInboxCapacity = 65536;
constexpr std::chrono::milliseconds kReportRetryDelay{1};

}  // namespace

upstream_connection_manager::upstream_connection_manager(steward_ring& stewards)
    : stewards_(stewards),
      thread_("upstreams"),
      inbox_(thread_.Io(), kInboxCapacity,
             [this](upstream_command command) {
               std::visit(
                   overloaded{
                       [this](open_connection& c) { Open(c); },
                       [this](close_connection& c) { Close(c); },
                       [this](send_exchange& c) { Exchange(std::move(c)); },
                   },
                   command);
             }),
      retry_timer_(thread_.Io()) {}

upstream_connection_manager::~upstream_connection_manager() { Stop(); }

void upstream_connection_manager::Start() { thread_.Start(); }

void upstream_connection_manager::Stop() { thread_.Stop(); }

bool upstream_connection_manager::Send(upstream_command command) {
  return inbox_.TryPush(std::move(command));
}

void upstream_connection_manager::Open(const open_connection& command) {
  const std::uint64_t id = command.connection_id;
  upstream_connection_listener& listener = *this;
  const auto connection =
      std::make_shared<upstream_connection>(thread_.Io(), id, listener);
  connections_[id] = connection;
  connection->Connect(command.target, command.timeout);
}

void upstream_connection_manager::Close(const close_connection& command) {
  const auto found = connections_.find(command.connection_id);
  if (found == connections_.end()) return;
  found->second->Close();
  connections_.erase(found);
}

// Exchanges have no timeout here. The stewards worker decides when an exchange
// has taken too long, because only it knows which limits a silent connection
// still counts against.
void upstream_connection_manager::Exchange(send_exchange command) {
  const std::uint64_t id = command.connection_id;
  const auto found = connections_.find(id);
  if (found == connections_.end()) {
    return Report(connection_failed{id, connection_failure::kReset, true,
                                    command.exchange_id});
  }
  // The copy keeps the connection alive if a failure removes it from the map.
  const std::shared_ptr<upstream_connection> connection = found->second;
  connection->Exchange(std::move(command));
}

void upstream_connection_manager::OnConnected(std::uint64_t connection_id) {
  Report(connection_opened{connection_id});
}

void upstream_connection_manager::OnReply(exchange_reply reply) {
  Report(std::move(reply));
}

void upstream_connection_manager::OnBroken(const connection_failed& failure) {
  connections_.erase(failure.connection_id);
  Report(failure);
}

void upstream_connection_manager::Report(steward_event event) {
  // A lost report would leave a request counted as in flight forever. Reports
  // are therefore queued here, in order, while the stewards ring is full.
  if (unreported_.empty() && stewards_.TryPush(event)) return;
  unreported_.push_back(std::move(event));
  if (unreported_.size() == 1) RetryReports();
}

void upstream_connection_manager::RetryReports() {
  retry_timer_.expires_after(kReportRetryDelay);
  retry_timer_.async_wait([this](const boost::system::error_code& failed) {
    if (failed) return;
    while (!unreported_.empty() && stewards_.TryPush(unreported_.front())) {
      unreported_.pop_front();
    }
    if (!unreported_.empty()) RetryReports();
  });
}

}  // namespace papayaglade
