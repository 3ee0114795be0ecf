#ifndef PAPAYAGLADE_APP_ROSTER_PART_H_
#define PAPAYAGLADE_APP_ROSTER_PART_H_

#include "app/control_part.h"

namespace papayaglade {

/// Keeps this instance in its data centre's roster.
class roster_part : public control_part {
 public:
  explicit roster_part(control_context& context);

  void OnTick(monotonic_time now) override;

 private:
  void Write(const roster& base, std::uint64_t version);
  void SendStanding(const roster& own, monotonic_time now);
  std::vector<std::string> OwnUpstreams() const;

  control_context& context_;
  bool writing_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ROSTER_PART_H_
