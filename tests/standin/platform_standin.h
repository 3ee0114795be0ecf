#ifndef PAPAYAGLADE_TESTS_STANDIN_PLATFORM_STANDIN_H_
#define PAPAYAGLADE_TESTS_STANDIN_PLATFORM_STANDIN_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>

#include "call_counter.h"
#include "http_port.h"

namespace papayaglade {

/// In-memory implementation of the platform's Object API, which
/// docs/PROTOCOLS.md describes. Each caller has its own port, so that calls can
/// be counted and disrupted by caller.
class platform_standin {
 public:
  /// `definition`: {"ports":[{"caller","port"}],"lag_ms"}.
  platform_standin(boost::asio::io_context& io,
                   const nlohmann::json& definition);

  bool Open();
  /// Executes the command in "do": refuse, hang, slow, heal, lose, mark, reset
  /// or instances. Ignores other commands.
  void Command(const nlohmann::json& command);
  nlohmann::json Summary() const;

 private:
  struct object {
    std::uint64_t version = 0;   ///< Counts the writes. Zero: not written yet.
    std::uint64_t revision = 0;  ///< Store revision of the last write.
    nlohmann::json value;
  };
  using object_map = std::map<std::pair<std::string, std::string>, object>;
  enum class outage_mode { kNone, kRefuse, kHang, kSlow };
  struct caller_listener {
    std::string caller;
    std::unique_ptr<http_port> port;
    outage_mode outage = outage_mode::kNone;
    std::chrono::milliseconds delay{0};  ///< Added to each call while slow.
  };
  /// A watch that has not been answered yet.
  struct pending_watch {
    std::uint64_t id = 0;
    const caller_listener* from = nullptr;
    std::string kind;
    std::uint64_t after = 0;  ///< Reports objects with a later revision.
    http_port::responder respond;
  };
  struct call {
    const http_request* request;
    std::string kind;
    std::string name;
    /// Numeric parameters in the query string of the target.
    std::map<std::string, std::uint64_t> query_numbers;
  };

  void Receive(caller_listener& from, const http_request& request,
               const http_port::responder& respond);
  void Handle(caller_listener& from, const http_request& request,
              const http_port::responder& respond);
  http_response Get(const call& parsed) const;
  http_response Put(const call& parsed);
  void Watch(const caller_listener& from, const call& parsed,
             const http_port::responder& respond);
  void EndWatch(std::uint64_t id);
  void NotifyWatches(const std::string& kind);
  void SetOutage(const nlohmann::json& command, outage_mode mode);
  nlohmann::json List(const std::string& kind, std::uint64_t after) const;

  boost::asio::io_context& io_;
  std::list<caller_listener> listeners_;
  std::chrono::milliseconds lag_;  ///< Delay of changes to `instances_`.
  object_map objects_;
  std::uint64_t revision_ = 0;
  /// State saved by "mark" and restored by "reset".
  object_map marked_;
  std::uint64_t marked_revision_ = 0;
  nlohmann::json instances_ = nlohmann::json::array();
  /// Number of successful writes to leave unanswered, by object kind.
  std::map<std::string, int> answers_to_lose_;
  std::list<pending_watch> watches_;
  std::uint64_t last_watch_ = 0;
  call_counter calls_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_STANDIN_PLATFORM_STANDIN_H_
