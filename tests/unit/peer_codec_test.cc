#include "protocol/peer_codec.h"

#include <catch2/catch.hpp>
#include <random>

namespace papayaglade {

namespace {

constexpr unsigned kSeed = 20261204;
constexpr int kMutations = 20000;

shard_batch ExampleBatch() {
  shard_batch batch;
  batch.origin = {"entry-1", 7};
  batch.request_id = "r1";
  batch.service = "shop-answers";
  batch.snapshot = 3;
  batch.query = "price of flour";
  batch.time_left = std::chrono::microseconds(1500);
  batch.attempts.push_back({11, "shard-1", "searcher-1"});
  batch.attempts.push_back({12, "shard-2", "searcher-2"});
  return batch;
}

}  // namespace

TEST_CASE("a batch is unchanged after encoding and decoding") {
  const auto decoded = DecodePeerMessage(EncodePeerMessage(ExampleBatch()));
  REQUIRE(decoded.has_value());
  const auto& batch = std::get<shard_batch>(*decoded);
  CHECK(batch.origin == instance_identity{"entry-1", 7});
  CHECK(batch.time_left == std::chrono::microseconds(1500));
  REQUIRE(batch.attempts.size() == 2);
  CHECK(batch.attempts[1].upstream == "searcher-2");
}

TEST_CASE("corrupted peer messages never crash the decoder") {
  std::mt19937 random(kSeed);
  const std::string good = EncodePeerMessage(ExampleBatch());
  int refused = 0;
  for (int i = 0; i < kMutations; ++i) {
    std::string bytes = good;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    bytes.resize(1 + random() % bytes.size());
    if (!DecodePeerMessage(bytes).has_value()) ++refused;
  }
  CHECK(refused > 0);
}

}  // namespace papayaglade
