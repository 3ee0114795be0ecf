#include "coordination/answer_memory.h"

#include <catch2/catch.hpp>
#include <vector>

namespace papayaglade {

namespace {

constexpr std::size_t kKilobyte = 1000;
constexpr std::size_t kLimit = 100 * kKilobyte;

struct counting_holder : answer_holder {
  void GiveUpAnswer() override { ++given_up; }
  int given_up = 0;
};

}  // namespace

TEST_CASE("the largest answer is given up where there is no room", "[memory]") {
  answer_memory memory(kLimit);
  counting_holder large;
  counting_holder sound;
  memory.Resize(large, 60 * kKilobyte);
  memory.Resize(sound, 30 * kKilobyte);
  CHECK(memory.HeldBytes() == 90 * kKilobyte);
  memory.Resize(sound, 50 * kKilobyte);
  CHECK(large.given_up == 1);
  CHECK(sound.given_up == 0);
  CHECK(memory.HeldBytes() == 50 * kKilobyte);
  memory.Resize(sound, 101 * kKilobyte);
  CHECK(sound.given_up == 1);
  CHECK(memory.HeldBytes() == 0);
  CHECK(memory.GivenUpCount() == 2);
}

TEST_CASE("small answers are not counted and never given up", "[memory]") {
  answer_memory memory(kLimit);
  std::vector<counting_holder> small(1000);
  for (auto& each : small)
    memory.Resize(each, answer_memory::kSmallAnswerBytes);
  CHECK(memory.HeldBytes() == 0);
  counting_holder large;
  memory.Resize(large, 2 * kLimit);
  CHECK(large.given_up == 1);
  for (const auto& each : small) CHECK(each.given_up == 0);
}

TEST_CASE("a released answer leaves its room to others", "[memory]") {
  answer_memory memory(kLimit);
  counting_holder first;
  counting_holder second;
  memory.Resize(first, 90 * kKilobyte);
  memory.Release(first);
  memory.Release(first);
  memory.Resize(second, 90 * kKilobyte);
  CHECK(first.given_up + second.given_up == 0);
  CHECK(memory.HeldBytes() == 90 * kKilobyte);
}

}  // namespace papayaglade
