#include <tclap/CmdLine.h>

#include <cstdlib>
#include <iostream>

#include "app/command.h"
#include "app/entry_instance.h"
#include "app/service_files.h"
#include "platform/platform_store_format.h"
#include "platform/platform_wire_format.h"
#include "protocol/entry_settings_codec.h"

namespace papayaglade {

namespace {

constexpr char kSettingsVariable[] = "PAPAYAGLADE_CONFIG";

std::string DefaultSettings() {
  const char* file = std::getenv(kSettingsVariable);
  return file == nullptr ? "" : file;
}

}  // namespace

exit_code RunEntry(std::vector<std::string>& arguments) {
  TCLAP::CmdLine line("Runs one entry instance until it receives SIGTERM.", ' ',
                      kVersionText);
  const TCLAP::ValueArg<std::string> file(
      "s", "settings",
      "settings file of the instance; by default the file named by "
      "PAPAYAGLADE_CONFIG",
      false, DefaultSettings(), "FILE", line);
  line.parse(arguments);
  const auto text = ReadFile(file.getValue());
  if (!text.has_value()) {
    std::cerr << file.getValue()
              << ": cannot be read; give a readable file with --settings or "
              << kSettingsVariable << "\n";
    return exit_code::kBadInput;
  }
  fault_list faults;
  const entry_settings settings =
      ParseEntrySettings(file.getValue(), *text, faults);
  if (!faults.empty()) {
    PrintFaults(faults, false);
    return exit_code::kBadInput;
  }
  const platform::platform_wire_format wire;
  const platform::platform_store_format store;
  entry_instance instance(file.getValue(), settings, wire, store);
  const std::string failed = instance.Start();
  if (!failed.empty()) {
    std::cerr << failed << "\n";
    return exit_code::kFailed;
  }
  instance.Run();
  return exit_code::kDone;
}

}  // namespace papayaglade
