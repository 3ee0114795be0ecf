#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "standin_process.h"

namespace {

using nlohmann::json;

// Reads the definition file or builds the definition for one of the short
// forms, which start stand-ins without a control port.
json ReadDefinition(const std::vector<std::string>& arguments) {
  if (arguments.size() == 1) {
    std::ifstream file(arguments[0]);
    return json::parse(file);
  }
  const int port = std::stoi(arguments.at(1));
  if (arguments[0] == "platform") {
    return {{"platform", {{"ports", {{{"caller", ""}, {"port", port}}}}}}};
  }
  json upstreams = json::array();
  for (std::size_t i = 2; i < arguments.size(); ++i) {
    upstreams.push_back({{"name", arguments[i]}, {"port", port + i - 2}});
  }
  return {{"upstreams", upstreams}};
}

}  // namespace

// Usage: standin FILE.json | standin platform PORT |
//        standin upstreams FIRST-PORT NAME...
int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  if (arguments.empty()) {
    std::cerr << "no definition file given, see docs/SCENARIOS.md\n";
    return 1;
  }
  papayaglade::standin_process process(ReadDefinition(arguments));
  const std::string failed = process.Open();
  if (!failed.empty()) {
    std::cerr << "cannot open the port of " << failed << "\n";
    return 1;
  }
  process.Run();
  return 0;
}
