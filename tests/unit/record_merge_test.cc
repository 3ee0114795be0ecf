#include "coordination/record_merge.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstring>
#include <random>

namespace papayaglade {

namespace {

std::string Record(char value) { return std::string(kRecordBytes, value); }

}  // namespace

TEST_CASE("the greatest records of all parts come first", "[merge_records]") {
  const std::string a = Record('a') + Record('z');
  const std::string b = Record('m') + Record('\xff');
  CHECK(MergeRecords({&a, &b}, 3) ==
        Record('\xff') + Record('z') + Record('m'));
}

TEST_CASE("equal records are all kept, an incomplete record is not",
          "[merge_records]") {
  const std::string a = Record('k') + "short";
  const std::string b = Record('k');
  CHECK(MergeRecords({&a, &b}, 5) == Record('k') + Record('k'));
  CHECK(MergeRecords({}, 5).empty());
  CHECK(MergeRecords({&a}, 0).empty());
}

TEST_CASE("a merge equals the sorted records of all parts", "[merge_records]") {
  std::mt19937 random(7);
  std::vector<std::string> parts(20);
  std::vector<std::string> all;
  for (std::string& part : parts) {
    const auto count = random() % 60;
    for (std::size_t i = 0; i < count; ++i) {
      std::string record(kRecordBytes, '\0');
      for (char& c : record) c = static_cast<char>(random() % 4 + 126);
      part += record;
      all.push_back(record);
    }
  }
  std::sort(all.begin(), all.end(), [](const auto& x, const auto& y) {
    return std::memcmp(x.data(), y.data(), kRecordBytes) > 0;
  });
  std::string expected;
  for (std::size_t i = 0; i < 50; ++i) expected += all.at(i);
  std::vector<const std::string*> pointers;
  pointers.reserve(parts.size());
  for (const std::string& each : parts) pointers.push_back(&each);
  CHECK(MergeRecords(pointers, 50) == expected);
}

// Guards against large parts that are kept whole until the last shard answers.
TEST_CASE("a large part is reduced to the records that a merge may need",
          "[merge_records]") {
  std::mt19937 random(11);
  const std::size_t count = GENERATE(10, 1000, 1030, 50'000);
  std::string part(count * kRecordBytes + 5, '\0');
  for (char& c : part) c = static_cast<char>(random());
  constexpr std::size_t kTop = 50;
  const std::string reduced = ReducePart(part, kTop);
  CHECK(reduced.size() <= 16 * 1024);
  const std::string other = Record('\x70');
  CHECK(MergeRecords({&reduced, &other}, kTop) ==
        MergeRecords({&part, &other}, kTop));
}

}  // namespace papayaglade
