#include "coordination/merge.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace papayaglade {

namespace {

// A score that is not a number would break the ordering of all others, so it
// ranks last.
double OrderedScore(const hit& each) {
  return std::isnan(each.score) ? -std::numeric_limits<double>::infinity()
                                : each.score;
}

bool IsWorse(const hit& a, const hit& b) {
  const double left = OrderedScore(a);
  const double right = OrderedScore(b);
  return left != right ? left < right : a.key > b.key;
}

}  // namespace

std::vector<hit> MergeHits(std::vector<hit> hits, std::size_t max_hits) {
  // A heap takes one pass over all hits and one step for each hit kept. A sort
  // would order thousands of hits, of which the caller sees only a few.
  std::vector<std::size_t> heap(hits.size());
  for (std::size_t i = 0; i < heap.size(); ++i) heap[i] = i;
  const auto worse = [&hits](std::size_t a, std::size_t b) {
    return IsWorse(hits[a], hits[b]);
  };
  std::make_heap(heap.begin(), heap.end(), worse);
  std::vector<std::size_t> kept;
  std::unordered_set<std::string_view> keys;
  while (!heap.empty() && kept.size() < max_hits) {
    std::pop_heap(heap.begin(), heap.end(), worse);
    const std::size_t best = heap.back();
    heap.pop_back();
    if (keys.insert(hits[best].key).second) kept.push_back(best);
  }
  std::vector<hit> merged;
  merged.reserve(kept.size());
  for (const std::size_t index : kept) merged.push_back(std::move(hits[index]));
  return merged;
}

}  // namespace papayaglade
