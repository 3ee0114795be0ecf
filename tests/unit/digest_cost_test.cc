#include <catch2/catch.hpp>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

// Compares encodings for a digest of n counters, one per instance, that probes
// carry; see section 9 of the starting design and docs/design/spread.md.

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr unsigned kSeed = 20261204;
constexpr double kRoundsPerSecond = 2;  // A round is a probe and its reply.
constexpr int kRounds = 1200;
constexpr std::size_t kHeaderBytes = 60;
constexpr std::uint32_t kFirstVersion = 1000;
// 380 configuration changes and 530 restarts per day.
constexpr double kEventsPerSecond = 910.0 / 86400;

enum class encoding { kPlain, kP1, kP1Fifo, kSummary };

const char* EncodingName(encoding value) {
  switch (value) {
    case encoding::kPlain:
      return "plain vector";
    case encoding::kP1:
      return "P1";
    case encoding::kP1Fifo:
      return "P1 on FIFO links";
    case encoding::kSummary:
      return "summary, digest on difference";
  }
  return "";
}

struct instance {
  std::vector<std::uint32_t> versions;
  std::vector<std::vector<bool>> known;  // Matrix M of P1.
};

class digest_model {
 public:
  digest_model(encoding method, std::size_t size)
      : method_(method), random_(kSeed), instances_(size) {
    for (instance& each : instances_) {
      each.versions.assign(size, kFirstVersion);
      if (HasMatrix()) {
        each.known.assign(size, std::vector<bool>(size, true));
      }
    }
  }

  void Run(double events_per_round) {
    std::bernoulli_distribution event(events_per_round);
    for (int round = 0; round < kRounds; ++round) {
      if (event(random_)) IncrementVersion(random_() % instances_.size());
      for (std::size_t i = 0; i < instances_.size(); ++i) {
        const std::size_t j = random_() % instances_.size();
        if (i != j) Probe(i, j);
      }
    }
  }

  double BytesPerSecond() const {
    return static_cast<double>(bytes_) * kRoundsPerSecond /
           static_cast<double>(kRounds * instances_.size());
  }
  std::size_t StateBytes() const {
    const std::size_t n = instances_.size();
    return n * sizeof(std::uint64_t) + (HasMatrix() ? n * n / 8 : 0);
  }

 private:
  bool HasMatrix() const {
    return method_ == encoding::kP1 || method_ == encoding::kP1Fifo;
  }

  // Rule R1 of the design.
  void IncrementVersion(std::size_t i) {
    ++instances_[i].versions[i];
    if (HasMatrix()) ClearKnown(i, i);
  }

  void ClearKnown(std::size_t i, std::size_t k) {
    for (std::size_t j = 0; j < instances_.size(); ++j) {
      if (j != i) instances_[i].known[j][k] = j == k;
    }
  }

  void Probe(std::size_t i, std::size_t j) {
    if (method_ != encoding::kSummary) {
      Send(i, j);
      return Send(j, i);
    }
    Count(json::array({0, UINT64_MAX}));
    Count(json::array({1, UINT64_MAX}));
    if (instances_[i].versions == instances_[j].versions) return;
    Send(i, j);
    Send(j, i);
  }

  // Rules R2 and R3 of the design.
  void Send(std::size_t i, std::size_t j) {
    json out = json::array();
    for (std::size_t k = 0; k < instances_.size(); ++k) {
      const std::uint32_t version = instances_[i].versions[k];
      if (!HasMatrix()) {
        out.push_back(version);
        ApplyVersion(j, k, version);
      } else if (!instances_[i].known[j][k]) {
        out.push_back(k);
        out.push_back(version);
        if (method_ == encoding::kP1Fifo) instances_[i].known[j][k] = true;
        ApplyVersionFrom(i, j, k, version);
      }
    }
    Count(out);
  }

  void ApplyVersion(std::size_t j, std::size_t k, std::uint32_t version) {
    std::uint32_t& held = instances_[j].versions[k];
    held = std::max(held, version);
  }

  void ApplyVersionFrom(std::size_t i, std::size_t j, std::size_t k,
                        std::uint32_t version) {
    instance& to = instances_[j];
    if (to.versions[k] > version) return;
    if (to.versions[k] < version) ClearKnown(j, k);
    to.versions[k] = version;
    to.known[i][k] = true;
  }

  void Count(const json& message) {
    std::vector<std::uint8_t> encoded;
    json::to_cbor(message, encoded);
    bytes_ += encoded.size() + kHeaderBytes;
  }

  encoding method_;
  std::mt19937 random_;
  std::vector<instance> instances_;
  std::uint64_t bytes_ = 0;
};

}  // namespace

TEST_CASE("bytes and state of digest encodings", "[.measure]") {
  const std::size_t size = GENERATE(104, 520);
  for (const double factor : {1.0, 20.0}) {
    for (const encoding method : {encoding::kPlain, encoding::kP1,
                                  encoding::kP1Fifo, encoding::kSummary}) {
      digest_model model(method, size);
      model.Run(factor * kEventsPerSecond / kRoundsPerSecond);
      std::printf(
          "digest n=%zu, %.2f changes/s, %s: %.0f B/s sent, "
          "%zu B state\n",
          size, factor * kEventsPerSecond, EncodingName(method),
          model.BytesPerSecond(), model.StateBytes());
    }
  }
}

}  // namespace papayaglade
