#include <glog/logging.h>
#include <pthread.h>
#include <tclap/CmdLine.h>

#include <csignal>
#include <iostream>

#include "app/command.h"
#include "app/server.h"
#include "app/service_files.h"
#include "protocol/settings_codec.h"

namespace papayaglade {

namespace {

// Blocks the shutdown signals before any thread starts, so that only
// WaitForShutdownSignal receives them.
sigset_t BlockShutdownSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  return signals;
}

// Neither the loss of the log's reader nor a hang-up ends the instance.
void IgnoreOtherSignals() {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGHUP, SIG_IGN);
}

void WaitForShutdownSignal(const sigset_t& signals) {
  int received = 0;
  sigwait(&signals, &received);
  LOG(INFO) << "event=shutdown signal=" << received;
}

}  // namespace

exit_code RunServe(std::vector<std::string>& arguments) {
  TCLAP::CmdLine line("Runs one instance until it receives SIGTERM.", ' ',
                      kVersionText);
  const TCLAP::ValueArg<std::string> file(
      "s", "settings", "settings file of the instance", true, "", "FILE", line);
  line.parse(arguments);
  const auto text = ReadFile(file.getValue());
  if (!text.has_value()) {
    std::cerr << file.getValue() << ": cannot be read; give a readable file\n";
    return exit_code::kBadInput;
  }
  fault_list faults;
  const instance_settings settings =
      ParseSettings(file.getValue(), *text, faults);
  if (!faults.empty()) {
    PrintFaults(faults, false);
    return exit_code::kBadInput;
  }
  IgnoreOtherSignals();
  const sigset_t signals = BlockShutdownSignals();
  server instance(settings);
  const std::string failed = instance.Start();
  if (!failed.empty()) {
    std::cerr << failed << "\n";
    return exit_code::kFailed;
  }
  WaitForShutdownSignal(signals);
  instance.Shutdown();
  return exit_code::kDone;
}

}  // namespace papayaglade
