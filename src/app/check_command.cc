#include <tclap/CmdLine.h>

#include <iostream>

#include "app/command.h"
#include "app/service_files.h"
#include "protocol/settings_codec.h"

namespace papayaglade {

exit_code RunCheck(std::vector<std::string>& arguments) {
  TCLAP::CmdLine line(
      "Checks service files as publish does and settings files as serve "
      "does. Changes nothing.",
      ' ', kVersionText);
  TCLAP::SwitchArg json("", "json", "print the faults as JSON", line);
  TCLAP::MultiArg<std::string> settings(
      "s", "settings", "settings file of an instance", false, "FILE", line);
  TCLAP::UnlabeledMultiArg<std::string> folders(
      "folders", "folders with service files", false, "FOLDER", line);
  line.parse(arguments);
  fault_list faults;
  for (const std::string& file : settings.getValue()) {
    const auto text = ReadFile(file);
    if (!text.has_value()) {
      faults.push_back({file, "", "cannot be read", "give a readable file"});
      continue;
    }
    ParseSettings(file, *text, faults);
  }
  if (folders.isSet()) CollectServices(folders.getValue(), faults);
  if (!folders.isSet() && !settings.isSet()) {
    faults.push_back({"", "", "nothing to check",
                      "give folders, or settings files with --settings"});
  }
  if (!faults.empty() || json.getValue()) {
    PrintFaults(faults, json.getValue());
  } else {
    std::cout << "no faults\n";
  }
  return faults.empty() ? exit_code::kDone : exit_code::kBadInput;
}

}  // namespace papayaglade
