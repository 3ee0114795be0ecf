#include "coordination/name_index.h"

namespace papayaglade {

std::uint32_t name_index::NumberOf(const std::string& name) {
  const auto next = static_cast<std::uint32_t>(names_.size());
  const auto added = numbers_.emplace(name, next);
  if (added.second) names_.push_back(name);
  return added.first->second;
}

const std::string& name_index::NameOf(std::uint32_t number) const {
  return names_.at(number);
}

}  // namespace papayaglade
