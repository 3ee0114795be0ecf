#ifndef PAPAYAGLADE_APP_OPERATORS_SERVICE_H_
#define PAPAYAGLADE_APP_OPERATORS_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "transport/caller_port.h"

namespace papayaglade {

/// Serves the entry instance's pages for operators and the balancer.
class operators_service : public caller_port::service {
 public:
  struct page {
    int status = 200;
    std::string body;
  };
  using source = std::function<page()>;

  void Add(const std::string& path, source source) {
    pages_[path] = std::move(source);
  }

  caller_limits Limits() const override { return {}; }
  void OnRequest(const std::shared_ptr<caller_connection>& from,
                 caller_message message) override;
  void OnMalformed(const std::shared_ptr<caller_connection>& from,
                   bool too_large) override;

 private:
  std::map<std::string, source> pages_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_OPERATORS_SERVICE_H_
