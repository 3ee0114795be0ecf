#ifndef PAPAYAGLADE_COORDINATION_NAME_INDEX_H_
#define PAPAYAGLADE_COORDINATION_NAME_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace papayaglade {

/// Numbers names so that state by name can sit in vectors. A number keeps its
/// name for the life of the process.
class name_index {
 public:
  /// Returns the number of `name`, giving it the next one if it has none.
  std::uint32_t NumberOf(const std::string& name);
  const std::string& NameOf(std::uint32_t number) const;
  std::size_t Size() const { return names_.size(); }

 private:
  std::unordered_map<std::string, std::uint32_t> numbers_;
  std::vector<std::string> names_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_NAME_INDEX_H_
