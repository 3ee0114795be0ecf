#ifndef PAPAYAGLADE_TESTS_UNIT_STEWARDSHIP_SIMULATION_H_
#define PAPAYAGLADE_TESTS_UNIT_STEWARDSHIP_SIMULATION_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "coordination/stewardship.h"

namespace papayaglade {

/// Runs a few real stewardship objects with a simulated platform, network and
/// cold upstreams in virtual time, with random faults from one seed.
class stewardship_simulation {
 public:
  explicit stewardship_simulation(std::uint64_t seed);

  /// Injects faults, then repairs everything and waits for recovery. Returns
  /// the first violated invariant, or an empty string.
  std::string Run();

 private:
  struct process {
    instance_identity identity;
    std::unique_ptr<stewardship> steward;
    bool running = true;
    bool frozen = false;
    bool leaving = false;
    bool platform_cut = false;
    std::deque<std::function<void()>> held;  ///< Events received while frozen.
    /// The standing that its stewards worker knows.
    standing_update standing;
    std::map<std::string, monotonic_time> busy_until;
    /// Keyed by peer incarnation.
    std::map<std::string, monotonic_time> unreachable_since;
    std::uint64_t highest_epoch = 0;
  };

  void ScheduleAt(std::chrono::milliseconds delay,
                  std::function<void()> callback);
  void ScheduleAtProcess(std::chrono::milliseconds delay, process& target,
                         std::function<void()> callback);
  void RunUntil(monotonic_time end);
  void Heal();
  void InjectFault();
  void Start(const std::string& name);
  void Stop(process& target);
  void Tick(process& each);
  void ReportMembers(process& each);
  void PerformActions(process& from);
  void Perform(process& from, const send_control& action);
  void Perform(process& from, read_roster action);
  void Perform(process& from, write_roster action);
  void Perform(process& from, standing_update action);
  void Perform(process& from, release_upstreams action);
  void Perform(process& from, handover_event action);
  void Perform(process& from, leave_finished action);
  void DeliverAnswer(process& to, bool write, roster_answer answer);
  void SendWork(process& from);
  void CheckSingleSteward();
  bool MaySend(const process& each, const std::string& upstream) const;
  bool Reachable(const process& a, const process& b) const;
  process* FindRunning(const std::string& name);
  process* FindAny(const std::function<bool(const process&)>& wanted);
  int RandomBelow(int below);

  std::mt19937_64 random_;
  stewardship_timing timing_;
  monotonic_time now_{std::chrono::hours(1)};
  std::multimap<monotonic_time, std::function<void()>> events_;
  std::vector<std::unique_ptr<process>> processes_;
  std::set<std::pair<std::string, std::string>> cuts_;
  bool network_reliable_ = false;  ///< No message is lost or delayed.
  bool platform_up_ = true;
  int lost_answer_percent_ = 0;
  std::uint64_t version_ = 0;
  roster stored_;
  std::uint64_t configuration_ = 1;
  std::vector<assignable_upstream> upstreams_;
  std::map<std::string, std::vector<monotonic_time>> in_flight_;
  std::uint64_t last_incarnation_ = 0;
  std::string violation_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_STEWARDSHIP_SIMULATION_H_
