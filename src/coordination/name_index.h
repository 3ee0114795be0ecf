#ifndef PAPAYAGLADE_COORDINATION_NAME_INDEX_H_
#define PAPAYAGLADE_COORDINATION_NAME_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace papayaglade {

/// Maps names to consecutive numbers, so that state can be kept in vectors. A
/// number keeps its name for the life of the process.
class name_index {
 public:
  /// Returns the number of `name`; a new name gets the next number.
  std::uint32_t NumberOf(const std::string& name);
  const std::string& NameOf(std::uint32_t number) const;
  std::size_t Size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, std::uint32_t> numbers_;
  std::vector<std::string> names_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_NAME_INDEX_H_
