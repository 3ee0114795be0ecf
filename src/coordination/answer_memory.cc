#include "coordination/answer_memory.h"

#include <algorithm>

namespace papayaglade {

void answer_memory::Resize(answer_holder& holder, std::size_t bytes) {
  if (bytes <= kSmallAnswerBytes) return Release(holder);
  std::size_t& own = holders_[&holder];
  held_ += bytes - own;
  own = bytes;
  while (held_ > limit_) GiveUpLargest();
}

void answer_memory::Release(answer_holder& holder) {
  const auto found = holders_.find(&holder);
  if (found == holders_.end()) return;
  held_ -= found->second;
  holders_.erase(found);
}

// An upstream that sends bytes without end has the largest answer sooner or
// later, so that answers of the usual size are kept.
void answer_memory::GiveUpLargest() {
  const auto largest = std::max_element(
      holders_.begin(), holders_.end(),
      [](const auto& a, const auto& b) { return a.second < b.second; });
  answer_holder& holder = *largest->first;
  Release(holder);
  ++given_up_;
  holder.GiveUpAnswer();
}

}  // namespace papayaglade
