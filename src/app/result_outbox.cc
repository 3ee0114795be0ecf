#include "app/result_outbox.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

// Keeps a message well below the size limit of a peer link.
constexpr std::size_t kMaxResultsPerMessage = 256;

}  // namespace

result_outbox::result_outbox(const instance_identity& self, peer_port& peers,
                             router_ring& router)
    : self_(self), peers_(peers), router_(router) {}

void result_outbox::Add(const instance_identity& origin, shard_result result) {
  const auto found = std::find_if(
      pending_.begin(), pending_.end(), [&](const addressed_results& each) {
        return each.origin == origin &&
               each.message.results.size() < kMaxResultsPerMessage;
      });
  if (found != pending_.end()) {
    found->message.results.push_back(std::move(result));
    return;
  }
  addressed_results added{origin, {}};
  added.message.results.push_back(std::move(result));
  pending_.push_back(std::move(added));
}

void result_outbox::Flush() {
  const auto sent = [this](addressed_results& each) { return Send(each); };
  pending_.erase(std::remove_if(pending_.begin(), pending_.end(), sent),
                 pending_.end());
}

bool result_outbox::Send(addressed_results& results) {
  if (results.origin == self_) {
    return router_.TryPush(results_event{results.message});
  }
  // A message that cannot be sent is dropped: without a link the entry instance
  // has already given up these attempts.
  peers_.Send(results.origin.name, std::move(results.message));
  return true;
}

}  // namespace papayaglade
