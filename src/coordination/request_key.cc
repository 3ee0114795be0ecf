#include "coordination/request_key.h"

namespace papayaglade {

namespace {

// Parameters of 64-bit FNV-1a.
constexpr std::uint64_t kOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t kPrime = 1099511628211ULL;

}  // namespace

std::uint64_t StableHash(const std::string& text) {
  std::uint64_t hash = kOffsetBasis;
  for (const char each : text) {
    hash ^= static_cast<unsigned char>(each);
    hash *= kPrime;
  }
  return hash;
}

std::string FingerprintOf(const caller_request& request) {
  // The sizes distinguish requests whose concatenated workload and query are
  // equal.
  return std::to_string(request.workload.size()) + "-" +
         std::to_string(request.query.size()) + "-" +
         std::to_string(StableHash(request.workload + request.query));
}

std::uint64_t PlacementHash(const caller_request& request) {
  return StableHash(request.request_key.empty() ? request.request_id
                                                : request.request_key);
}

}  // namespace papayaglade
