#ifndef PAPAYAGLADE_APP_COMMAND_H_
#define PAPAYAGLADE_APP_COMMAND_H_

#include <string>
#include <vector>

namespace papayaglade {

/// Exit codes of every command.
enum class exit_code {
  kDone = 0,
  kFailed = 1,    ///< The command ran and the answer is no.
  kUsage = 2,     ///< The command line is wrong.
  kBadInput = 3,  ///< A file was refused; nothing was changed.
  kConflict = 4,  ///< Another operator was first; nothing was changed.
  kNotInForceEverywhere = 5,  ///< Accepted, but not seen in force everywhere.
  kUnknown = 6,               ///< The change may or may not be in force.
  kUnavailable = 7,           ///< The platform or instance cannot be reached.
};

/// One subcommand; `arguments` starts with the program and command name.
using command_function = exit_code (*)(std::vector<std::string>& arguments);

/// A subcommand as the command line and its help list it.
struct command {
  const char* name;
  const char* summary;
  command_function run;
};

/// The version every command reports.
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
