#include <glog/logging.h>

#include <iostream>
#include <string>
#include <vector>

#include "app/command.h"

namespace papayaglade {

namespace {

constexpr command kCommands[] = {
    {"serve", "run one instance", RunServe},
    {"entry",
     "run one entry instance, which sends requests directly to upstreams",
     RunEntry},
    {"check", "check service and settings files", RunCheck},
    {"publish", "publish a configuration", RunPublish},
    {"status", "show the state of an instance", RunStatus},
    {"data-centre", "take a data centre out of service or back in",
     RunDataCentre},
    {"explain", "show the outcome of each shard of a recent request",
     RunExplain},
    {"bench", "generate load and report latencies", RunBench},
    {"version", "print the version", RunVersion},
};

void PrintUsage(std::ostream& out) {
  out << "usage: papayaglade COMMAND [OPTIONS]\n";
  for (const command& each : kCommands) {
    out << "  " << each.name << "  " << each.summary << "\n";
  }
  out << "papayaglade COMMAND --help shows the options of a command.\n";
}

exit_code Dispatch(std::vector<std::string> arguments) {
  if (arguments.size() < 2) {
    PrintUsage(std::cerr);
    return exit_code::kUsage;
  }
  for (const command& each : kCommands) {
    if (arguments[1] != each.name) continue;
    arguments[0] += " " + arguments[1];
    arguments.erase(arguments.begin() + 1);
    return each.run(arguments);
  }
  std::cerr << "unknown command: " << arguments[1] << "\n";
  PrintUsage(std::cerr);
  return exit_code::kUsage;
}

}  // namespace

}  // namespace papayaglade

int main(int argc, char** argv) {
  google::InitGoogleLogging(argv[0]);
  FLAGS_logtostderr = true;
  const std::vector<std::string> arguments(argv, argv + argc);
  return static_cast<int>(papayaglade::Dispatch(arguments));
}
