#include "app/operators_service.h"

#include <boost/beast/http/status.hpp>
#include <boost/beast/http/verb.hpp>

namespace papayaglade {

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

std::string Encode(const operators_service::page& page, bool keep_alive,
                   bool head) {
  const auto status = static_cast<boost::beast::http::status>(page.status);
  std::string text = "HTTP/1.1 " + std::to_string(page.status) + " " +
                     std::string(boost::beast::http::obsolete_reason(status)) +
                     "\r\nContent-Type: text/plain\r\nContent-Length: " +
                     std::to_string(page.body.size()) + "\r\n";
  if (!keep_alive) text += "Connection: close\r\n";
  text += "\r\n";
  return head ? text : text + page.body;
}

}  // namespace

void operators_service::OnRequest(
    const std::shared_ptr<caller_connection>& from, caller_message message) {
  const std::string target(message.target());
  const auto found = pages_.find(target.substr(0, target.find('?')));
  const page answer = found == pages_.end() ? page{kNotFound, "no such page\n"}
                                            : found->second();
  const bool keep_alive = message.keep_alive();
  const bool head = message.method() == boost::beast::http::verb::head;
  from->Respond(Encode(answer, keep_alive, head), !keep_alive);
}

void operators_service::OnMalformed(
    const std::shared_ptr<caller_connection>& from, bool /*too_large*/) {
  from->Respond(Encode({kBadRequest, "not a request\n"}, false, false), true);
}

}  // namespace papayaglade
