#include "transport/caller_port.h"

#include <boost/asio/ip/address.hpp>
#include <utility>
#include <vector>

namespace papayaglade {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr int kBacklog = 1024;

}  // namespace

caller_port::caller_port(loop_context& loop, service& service,
                         std::size_t max_connections)
    : loop_(loop),
      service_(service),
      max_connections_(max_connections),
      acceptor_(loop.Io()) {}

std::string caller_port::Listen(const endpoint& address) {
  error_code failed;
  const auto ip = boost::asio::ip::make_address(address.address, failed);
  if (failed) return failed.message();
  acceptor_.open(tcp::v4(), failed);
  if (failed) return failed.message();
  acceptor_.set_option(tcp::acceptor::reuse_address(true), failed);
  acceptor_.bind(tcp::endpoint(ip, address.port), failed);
  if (failed) return failed.message();
  acceptor_.listen(kBacklog, failed);
  if (failed) return failed.message();
  acceptor_.non_blocking(true, failed);
  if (failed) return failed.message();
  WaitForConnection();
  return "";
}

void caller_port::CloseIdleConnections() {
  const std::vector<std::shared_ptr<caller_connection>> all(
      connections_.begin(), connections_.end());
  for (const auto& each : all) each->CloseIfIdle();
}

void caller_port::CloseAllConnections() {
  const std::set<std::shared_ptr<caller_connection>> all = connections_;
  for (const auto& each : all) each->Close(connection_end::kStopping);
}

void caller_port::StopAccepting() {
  AcceptPending();
  error_code ignored;  // The acceptor is not used again.
  acceptor_.close(ignored);
}

caller_limits caller_port::Limits() const { return service_.Limits(); }

void caller_port::OnRequest(const std::shared_ptr<caller_connection>& from,
                            caller_message message) {
  service_.OnRequest(from, std::move(message));
}

void caller_port::OnMalformed(const std::shared_ptr<caller_connection>& from,
                              bool too_large) {
  service_.OnMalformed(from, too_large);
}

void caller_port::OnClosed(const std::shared_ptr<caller_connection>& from) {
  connections_.erase(from);
}

void caller_port::WaitForConnection() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code failed) {
    if (failed) return;
    AcceptPending();
    WaitForConnection();
  });
}

void caller_port::AcceptPending() {
  caller_connection::owner& self = *this;
  while (acceptor_.is_open()) {
    error_code failed;
    tcp::socket socket = acceptor_.accept(loop_.Io(), failed);
    if (failed) return;
    if (connections_.size() >= max_connections_) continue;
    const auto connection =
        std::make_shared<caller_connection>(loop_, std::move(socket), self);
    connections_.insert(connection);
    connection->Start();
  }
}

}  // namespace papayaglade
