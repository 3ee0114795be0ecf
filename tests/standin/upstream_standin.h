#ifndef PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_STANDIN_H_
#define PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_STANDIN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "http_port.h"
#include "upstream_log.h"
#include "upstream_profile.h"

namespace papayaglade {

/// An upstream that speaks the protocol in docs/PROTOCOLS.md. While cold, it
/// crashes and restarts if it receives more requests than its cold slots.
class upstream_standin {
 public:
  upstream_standin(boost::asio::io_context& io, upstream_profile profile);

  bool Open();
  /// Executes the command in "do": go_cold, leave, return, down, up, silence,
  /// lose or set. Ignores other commands.
  void Command(const nlohmann::json& command);
  nlohmann::json Summary() const;
  nlohmann::json Records() const { return log_.Records(); }
  nlohmann::json Begun() const { return log_.Begun(); }

 private:
  enum class phase { kWarm, kCold, kLeaving, kDown };
  struct running_request {
    /// Incarnation of the upstream at the start.
    std::uint64_t incarnation = 0;
    nlohmann::json body;
    bool is_run = false;
    bool meets_deadline = true;  ///< The request is served before its deadline.
    http_port::responder respond;
    std::unique_ptr<boost::asio::steady_timer> end;
  };
  struct phase_change {
    monotonic_time since;
    phase entered;
  };

  void Handle(const http_request& request, const http_port::responder& respond);
  void HandleWork(nlohmann::json body, bool is_run,
                  const http_port::responder& respond);
  /// Returns the reason to refuse a new request, or an empty string to admit
  /// it. "overload" means that the upstream crashes.
  std::string RefusalReason(monotonic_time now);
  void StartRequest(nlohmann::json body, bool is_run,
                    const http_port::responder& respond);
  void EndRequest(const std::string& attempt);
  void Serve(const running_request& ended);
  http_response Cancel(const nlohmann::json& body);
  http_response MakeHealthReply();
  http_response MakeHits(const nlohmann::json& body, bool is_run) const;

  void Restart(std::chrono::milliseconds down);
  void GoCold();
  void SetPhase(phase next);
  void WarmUpIfDue();
  int InFlight() const;
  std::chrono::microseconds ServiceTime();
  std::uint64_t NewestSnapshot() const;
  static const char* PhaseName(phase value);

  boost::asio::io_context& io_;
  upstream_profile profile_;
  http_port port_;
  boost::asio::steady_timer restart_timer_;
  std::mt19937_64 random_;
  phase phase_ = phase::kWarm;
  bool refuses_when_leaving_ = false;
  std::deque<phase_change> history_;  ///< Phases for a delayed /health.
  std::uint64_t incarnation_ = 1;
  std::uint64_t served_since_cold_ = 0;
  monotonic_time cold_since_;
  /// Time from which callers could know that the upstream is cold. Empty if
  /// nothing has shown it yet.
  std::optional<monotonic_time> cold_visible_since_;
  int answers_to_lose_ = 0;  ///< Number of next answers to drop.
  std::unordered_map<std::string, running_request> running_;
  /// Attempts received since the last restart.
  std::unordered_set<std::string> received_attempts_;
  upstream_log log_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_STANDIN_H_
