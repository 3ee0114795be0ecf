#include "coordination/backoff.h"

#include <algorithm>

namespace papayaglade {

std::chrono::milliseconds backoff::Next(std::mt19937_64& random) {
  const auto half = next_.count() / 2;
  std::uniform_int_distribution<std::chrono::milliseconds::rep> rest(0, half);
  const std::chrono::milliseconds wait(next_.count() - half + rest(random));
  next_ = std::min(max_, next_ * 2);
  return wait;
}

}  // namespace papayaglade
