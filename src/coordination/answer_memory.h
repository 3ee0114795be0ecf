#ifndef PAPAYAGLADE_COORDINATION_ANSWER_MEMORY_H_
#define PAPAYAGLADE_COORDINATION_ANSWER_MEMORY_H_

#include <cstddef>
#include <unordered_map>

namespace papayaglade {

/// Holds the bytes of one answer that is being received.
class answer_holder {
 public:
  virtual ~answer_holder() = default;
  /// Asks the holder to drop its answer soon, because there is no room for it.
  virtual void GiveUpAnswer() = 0;
};

/// Limits the bytes that the answers of upstreams take while they are received.
/// Where there is no room, the largest answer is given up.
class answer_memory {
 public:
  /// An answer that is no larger is not counted.
  static constexpr std::size_t kSmallAnswerBytes = 16UL * 1024;

  explicit answer_memory(std::size_t limit) : limit_(limit) {}

  /// Sets how many bytes `holder` keeps, and gives up the largest answers until
  /// all fit.
  void Resize(answer_holder& holder, std::size_t bytes);
  /// Forgets the holder. Call it before the holder ends.
  void Release(answer_holder& holder);

  /// Returns the bytes of the answers that are counted.
  std::size_t HeldBytes() const { return held_; }
  /// Returns how many answers have been given up.
  std::size_t GivenUpCount() const { return given_up_; }

 private:
  void GiveUpLargest();

  std::size_t limit_;
  std::size_t held_ = 0;
  std::size_t given_up_ = 0;
  std::unordered_map<answer_holder*, std::size_t> holders_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_ANSWER_MEMORY_H_
