#include "coordination/query_history.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

// A line of an account takes about 150 bytes, so this limits the history to 6
// MB.
constexpr std::size_t kMaxLines = 40'000;
constexpr std::size_t kMaxRequests = 2'000;

}  // namespace

void query_history::Add(finished_request request) {
  lines_ += request.details.shards.size();
  requests_.push_back(std::move(request));
  while (requests_.size() > 1 &&
         (lines_ > kMaxLines || requests_.size() > kMaxRequests)) {
    lines_ -= requests_.front().details.shards.size();
    requests_.pop_front();
  }
}

const finished_request* query_history::Find(
    const std::string& request_id) const {
  const auto found =
      std::find_if(requests_.rbegin(), requests_.rend(),
                   [&request_id](const finished_request& each) {
                     return each.details.request_id == request_id;
                   });
  return found == requests_.rend() ? nullptr : &*found;
}

}  // namespace papayaglade
