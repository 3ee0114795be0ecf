#include <unistd.h>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

#include "platform_standin.h"
#include "upstream_standin.h"

// Usage: standin platform PORT | standin upstreams FIRST-PORT NAME...
int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  const auto port = static_cast<std::uint16_t>(std::stoi(arguments.at(1)));
  papayaglade::platform_standin platform;
  std::vector<std::unique_ptr<papayaglade::upstream_standin>> upstreams;
  std::string failed;
  if (arguments.at(0) == "platform") {
    failed = platform.Start({"127.0.0.1", port});
  }
  for (std::size_t i = 2; i < arguments.size() && failed.empty(); ++i) {
    upstreams.push_back(
        std::make_unique<papayaglade::upstream_standin>(arguments[i]));
    const auto own = static_cast<std::uint16_t>(port + i - 2);
    failed = upstreams.back()->Start({"127.0.0.1", own});
  }
  if (!failed.empty()) {
    std::cerr << failed << "\n";
    return 1;
  }
  pause();
  return 0;
}
