#ifndef PAPAYAGLADE_TESTS_STANDIN_PLATFORM_STANDIN_H_
#define PAPAYAGLADE_TESTS_STANDIN_PLATFORM_STANDIN_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "transport/http_server.h"

namespace papayaglade {

/// The platform's Object API as docs/PROTOCOLS.md describes it, in memory.
class platform_standin {
 public:
  platform_standin();
  std::string Start(const endpoint& address);

 private:
  struct object {
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    nlohmann::json value;
  };

  http_response Handle(const http_request& request);
  http_response Put(const std::string& kind, const std::string& name,
                    std::uint64_t expected, const std::string& body);
  nlohmann::json List(const std::string& kind) const;

  std::map<std::pair<std::string, std::string>, object> objects_;
  std::uint64_t revision_ = 0;
  http_server server_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_PLATFORM_STANDIN_H_
