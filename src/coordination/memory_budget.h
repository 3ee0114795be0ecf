#ifndef PAPAYAGLADE_COORDINATION_MEMORY_BUDGET_H_
#define PAPAYAGLADE_COORDINATION_MEMORY_BUDGET_H_

#include <cstddef>
#include <memory>
#include <utility>

namespace papayaglade {

/// Limits the bytes that several holders keep in memory together.
class memory_budget {
 public:
  explicit memory_budget(std::size_t limit) : limit_(limit) {}

  /// Returns the bytes that may be reserved in all.
  std::size_t Limit() const { return limit_; }
  std::size_t Reserved() const { return reserved_; }

  /// Bytes of a budget that one holder reserves, released at the end of the
  /// reservation.
  class reservation {
   public:
    explicit reservation(std::shared_ptr<memory_budget> budget)
        : budget_(std::move(budget)) {}
    ~reservation() { Resize(0); }
    reservation(const reservation&) = delete;
    reservation& operator=(const reservation&) = delete;

    /// Changes the reservation to `bytes`. Returns false, and changes nothing,
    /// if the budget has no room for more.
    bool Resize(std::size_t bytes);

   private:
    std::shared_ptr<memory_budget> budget_;
    std::size_t bytes_ = 0;
  };

 private:
  std::size_t limit_;
  std::size_t reserved_ = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_COORDINATION_MEMORY_BUDGET_H_
