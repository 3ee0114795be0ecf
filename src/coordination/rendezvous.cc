#include "coordination/rendezvous.h"

#include <algorithm>
#include <utility>

namespace papayaglade {

namespace {

constexpr std::uint64_t kFnvOffset = 14695981039346656037ULL;
constexpr std::uint64_t kFnvPrime = 1099511628211ULL;
constexpr char kSeparator = '\0';

std::uint64_t AddByte(std::uint64_t hash, char byte) {
  return (hash ^ static_cast<unsigned char>(byte)) * kFnvPrime;
}

// With FNV alone, the hashes of names that differ only in the last byte are
// close together. The finalizer of splitmix64 spreads the difference over all
// bits.
std::uint64_t Finalize(std::uint64_t hash) {
  hash ^= hash >> 30;
  hash *= 0xbf58476d1ce4e5b9ULL;
  hash ^= hash >> 27;
  hash *= 0x94d049bb133111ebULL;
  return hash ^ (hash >> 31);
}

}  // namespace

std::uint64_t RendezvousWeight(const std::string& key,
                               const std::string& candidate) {
  std::uint64_t hash = kFnvOffset;
  for (const char each : key) hash = AddByte(hash, each);
  hash = AddByte(hash, kSeparator);
  for (const char each : candidate) hash = AddByte(hash, each);
  return Finalize(hash);
}

std::vector<std::string> RendezvousPick(const std::string& key,
                                        std::vector<std::string> candidates,
                                        std::size_t count) {
  std::sort(candidates.begin(), candidates.end(),
            [&key](const std::string& a, const std::string& b) {
              const std::uint64_t weight_a = RendezvousWeight(key, a);
              const std::uint64_t weight_b = RendezvousWeight(key, b);
              return weight_a != weight_b ? weight_a > weight_b : a < b;
            });
  if (candidates.size() > count) candidates.resize(count);
  return candidates;
}

}  // namespace papayaglade
