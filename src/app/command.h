#ifndef PAPAYAGLADE_APP_COMMAND_H_
#define PAPAYAGLADE_APP_COMMAND_H_

#include <string>
#include <vector>

namespace papayaglade {

/// Exit codes of all commands.
enum class exit_code {
  kDone = 0,
  /// The command ran but did not succeed.
  kFailed = 1,
  /// The command line is invalid.
  kUsage = 2,
  /// An input file is invalid; nothing was changed.
  kBadInput = 3,
  /// Another operator made a conflicting change first; nothing was changed.
  kConflict = 4,
  /// Accepted, but not confirmed to be in force on all instances.
  kNotInForceEverywhere = 5,
  /// The outcome is unknown: the change may or may not be in force.
  kUnknown = 6,
  /// The platform or the instance cannot be reached.
  kUnavailable = 7,
};

/// Runs a subcommand. `arguments` starts with the program and command name.
using command_function = exit_code (*)(std::vector<std::string>& arguments);

/// A subcommand with its name and its summary in the help text.
struct command {
  const char* name;
  const char* summary;
  command_function run;
};

/// The version that all commands report.
constexpr char kVersionText[] = "0.1";

exit_code RunCheck(std::vector<std::string>& arguments);
exit_code RunDataCentre(std::vector<std::string>& arguments);
exit_code RunEntry(std::vector<std::string>& arguments);
exit_code RunExplain(std::vector<std::string>& arguments);
exit_code RunBench(std::vector<std::string>& arguments);
exit_code RunServe(std::vector<std::string>& arguments);
exit_code RunStatus(std::vector<std::string>& arguments);
exit_code RunPublish(std::vector<std::string>& arguments);
exit_code RunVersion(std::vector<std::string>& arguments);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_COMMAND_H_
