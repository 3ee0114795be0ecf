#ifndef PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_STANDIN_H_
#define PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_STANDIN_H_

#include <string>

#include "transport/http_server.h"

namespace papayaglade {

/// One upstream as docs/PROTOCOLS.md describes it.
class upstream_standin {
 public:
  explicit upstream_standin(std::string name);
  std::string Start(const endpoint& address);

 private:
  http_response Handle(const http_request& request);

  std::string name_;
  http_server server_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_UPSTREAM_STANDIN_H_
