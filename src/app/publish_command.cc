#include <tclap/CmdLine.h>

#include <iostream>
#include <nlohmann/json.hpp>

#include "app/address_arguments.h"
#include "app/command.h"
#include "app/fleet_version_poller.h"
#include "app/platform_session.h"
#include "app/publication.h"
#include "app/service_files.h"

namespace papayaglade {

namespace {

constexpr int kDefaultWaitMs = 7000;

exit_code ExitCodeOf(error_kind kind) {
  switch (kind) {
    case error_kind::kConflict:
      return exit_code::kConflict;
    case error_kind::kOutcomeUnknown:
      return exit_code::kUnknown;
    case error_kind::kUnavailable:
      return exit_code::kUnavailable;
    default:
      return exit_code::kBadInput;
  }
}

exit_code PrintRefusal(const error& cause, bool json) {
  if (json) {
    std::cout << nlohmann::json({{"outcome", ErrorKindName(cause.kind)},
                                 {"message", cause.message},
                                 {"remedy", cause.remedy}})
                     .dump()
              << "\n";
  } else {
    std::cerr << cause.message << "; " << cause.remedy << "\n";
  }
  return ExitCodeOf(cause.kind);
}

void PrintFleet(const std::vector<instance_version>& instances,
                std::uint64_t version, bool json) {
  if (json) {
    nlohmann::json rows = nlohmann::json::array();
    for (const instance_version& each : instances) {
      rows.push_back({{"instance", each.name},
                      {"data_centre", each.data_centre},
                      {"answered", each.answered},
                      {"version", each.version}});
    }
    std::cout << nlohmann::json({{"outcome", "accepted"},
                                 {"version", version},
                                 {"instances", rows}})
                     .dump()
              << "\n";
    return;
  }
  std::cout << "version " << version << " accepted\n";
  for (const instance_version& each : instances) {
    std::cout << "  " << each.name << " " << each.data_centre << " ";
    if (!each.answered) {
      std::cout << "does not answer\n";
    } else {
      std::cout << "on version " << each.version << "\n";
    }
  }
}

}  // namespace

exit_code RunPublish(std::vector<std::string>& arguments) {
  TCLAP::CmdLine line(
      "Collects and checks service files and publishes them as one "
      "configuration.",
      ' ', kVersionText);
  const address_arguments platform(line, "platform", "the platform", true);
  TCLAP::ValueArg<int> wait("", "wait-ms",
                            "how long to wait for the instances; 0 to not wait",
                            false, kDefaultWaitMs, "MS", line);
  TCLAP::MultiArg<std::string> removals(
      "", "remove", "service in force to remove", false, "SERVICE", line);
  TCLAP::SwitchArg json("", "json", "print the outcome as JSON", line);
  TCLAP::UnlabeledMultiArg<std::string> folders(
      "folders", "folders with service files", true, "FOLDER", line);
  line.parse(arguments);
  fault_list faults;
  configuration wanted = CollectServices(folders.getValue(), faults);
  if (!faults.empty()) {
    PrintFaults(faults, json.getValue());
    return exit_code::kBadInput;
  }
  platform_session session(platform.Value());
  fleet_version_poller fleet(session);
  const bool fleet_known = fleet.ReadRosters();
  const publication_outcome outcome = publication(session).Run(
      std::move(wanted), removals.getValue(), fleet.HighestVersion());
  if (const auto* refused = std::get_if<publication_refused>(&outcome)) {
    return PrintRefusal(refused->cause, json.getValue());
  }
  const std::uint64_t version = std::get<publication_accepted>(outcome).version;
  bool in_force_everywhere = true;
  if (wait.getValue() > 0) {
    in_force_everywhere =
        fleet_known && fleet.WaitForVersion(
                           version, std::chrono::milliseconds(wait.getValue()));
  }
  PrintFleet(fleet.Instances(), version, json.getValue());
  return in_force_everywhere ? exit_code::kDone
                             : exit_code::kNotInForceEverywhere;
}

}  // namespace papayaglade
