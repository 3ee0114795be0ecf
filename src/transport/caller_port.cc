#include "transport/caller_port.h"

#include <boost/asio/error.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/system/errc.hpp>
#include <utility>
#include <vector>

namespace papayaglade {

using boost::system::error_code;
using tcp = boost::asio::ip::tcp;

namespace {

constexpr int kBacklog = 1024;
// A port that cannot accept is not woken by the end of the shortage.
constexpr std::chrono::milliseconds kAcceptRetryInterval{20};

// Returns true if a caller left before its connection was accepted.
bool IsAborted(const error_code& failed) {
  return failed == boost::system::errc::connection_aborted ||
         failed == boost::system::errc::protocol_error;
}

}  // namespace

caller_port::caller_port(loop_context& loop, service& service,
                         std::size_t max_connections,
                         const memory_shares& memory)
    : loop_(loop),
      service_(service),
      max_connections_(max_connections),
      memory_(memory),
      request_memory_(std::make_shared<memory_budget>(memory.requests)),
      acceptor_(loop.Io()) {}

std::string caller_port::Listen(const endpoint& address) {
  error_code failed;
  const auto ip = boost::asio::ip::make_address(address.address, failed);
  if (failed) return failed.message();
  acceptor_.open(tcp::v4(), failed);
  if (failed) return failed.message();
  acceptor_.set_option(tcp::acceptor::reuse_address(true), failed);
  // Otherwise accept waits, and the loop with it, if a caller has left.
  acceptor_.set_option(
      boost::asio::socket_base::enable_connection_aborted(true), failed);
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

void caller_port::OnNoMemory(const std::shared_ptr<caller_connection>& from,
                             const caller_message& message) {
  service_.OnNoMemory(from, message);
}

void caller_port::OnHeldBytes(const caller_connection& of, std::size_t before,
                              std::size_t after) {
  held_bytes_ = held_bytes_ - before + after;
  if (after <= before) return;
  while (held_bytes_ > memory_.unread_answers && CloseLongestUnread(of)) {
  }
}

bool caller_port::HasRoomForAnswers() const {
  return held_bytes_ <= memory_.unread_answers_to_run;
}

bool caller_port::CloseLongestUnread(const caller_connection& kept) {
  std::shared_ptr<caller_connection> longest;
  for (const auto& each : connections_) {
    if (each.get() == &kept || !each->HasUnwrittenAnswer()) continue;
    if (longest == nullptr || each->LastWrite() < longest->LastWrite()) {
      longest = each;
    }
  }
  if (longest == nullptr) return false;
  longest->Close(connection_end::kUnread);
  return true;
}

void caller_port::OnClosed(const std::shared_ptr<caller_connection>& from) {
  connections_.erase(from);
}

void caller_port::WaitForConnection() {
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code failed) {
    if (!failed) OnBacklog();
  });
}

void caller_port::OnBacklog() {
  if (!acceptor_.is_open()) return;
  const bool has_room = !IsFull() || MakeRoom();
  if (!has_room || !AcceptPending()) return RetryLater();
  WaitForConnection();
}

void caller_port::RetryLater() {
  loop_.ScheduleAfter(kAcceptRetryInterval,
                      [this](monotonic_time) { OnBacklog(); });
}

bool caller_port::AcceptPending() {
  caller_connection::owner& self = *this;
  while (acceptor_.is_open() && !IsFull()) {
    error_code failed;
    tcp::socket socket = acceptor_.accept(loop_.Io(), failed);
    if (failed == boost::asio::error::would_block) return true;
    if (IsAborted(failed)) continue;
    if (failed) return false;
    const auto connection =
        std::make_shared<caller_connection>(loop_, std::move(socket), self);
    connections_.insert(connection);
    connection->Start();
  }
  return true;
}

bool caller_port::MakeRoom() {
  const std::vector<std::shared_ptr<caller_connection>> all(
      connections_.begin(), connections_.end());
  for (const auto& each : all) {
    each->CloseIfIdle();
    if (!IsFull()) return true;
  }
  return false;
}

}  // namespace papayaglade
