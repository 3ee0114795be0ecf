#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "mirrored_instance.h"

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using part = store_standin::read_call::part;

enum class answer_era { kNone, kOlder, kSame, kNewer };
enum class answer_fault {
  kUnreadable,
  kTooLarge,
  kGone,
  kUnavailable,
  kRejected,
  kBehind,
  kAhead,
  kCutShort,
};

constexpr std::array kEras{answer_era::kNone, answer_era::kOlder,
                           answer_era::kSame, answer_era::kNewer};
constexpr std::array kParts{part::kFirstPage, part::kLaterPage, part::kWatch};
constexpr std::array kFaults{
    answer_fault::kUnreadable,  answer_fault::kTooLarge, answer_fault::kGone,
    answer_fault::kUnavailable, answer_fault::kRejected, answer_fault::kBehind,
    answer_fault::kAhead,       answer_fault::kCutShort};
constexpr std::array kEraNames{"none", "older", "same", "newer"};
constexpr std::array kPartNames{"first page", "later page", "watch"};
constexpr std::array kFaultNames{"unreadable",  "too large", "gone",
                                 "unavailable", "rejected",  "behind",
                                 "ahead",       "cut short"};

constexpr std::int64_t kEra = 7;
constexpr std::int64_t kFarAhead = 1000;
constexpr const char* kKind = "servers";
const std::set<std::string>& Newest() {
  static const std::set<std::string> names{"i-1", "i-new"};
  return names;
}

// An instance whose store spoils some answers about one kind: those to the
// first pages, or the later ones, of a list for a while, or those to watches
// from an earlier position for good.
class spoilt_copy {
 public:
  spoilt_copy(loop_context& loop, answer_era era, part spoilt, answer_fault how)
      : era_(era), spoilt_(spoilt), how_(how), store_(loop) {
    store_.SetEra(era == answer_era::kNone ? kNoEra : kEra);
    store_.SetLaterPages(store_standin::later_pages::kEmpty);
    store_.Put(kKind, "i-1", json::object());
    store_.SetAnswerEdit([this](const auto& call, const std::string& answer) {
      return Edit(call, answer);
    });
    instance_ = std::make_unique<mirrored_instance>(loop, store_.Address(),
                                                    "entry-1", false);
  }

  bool IsRead() const {
    return instance_->mirror->Complete() &&
           store_.WaitingWatchCount(kKind) == 1;
  }
  void Spoil() {
    spoiling_ = true;
    first_ = store_.Reads().size();
    revision_ = store_.Revision();
    const bool once =
        how_ == answer_fault::kBehind || how_ == answer_fault::kAhead;
    left_ = once ? 1 : 2;
    store_.Put(kKind, "i-new", json::object());
  }
  bool IsNewest() const { return instance_->upstreams == Newest(); }
  std::string Name() const {
    return std::string(kFaultNames.at(static_cast<std::size_t>(how_))) + " " +
           kPartNames.at(static_cast<std::size_t>(spoilt_)) + ", era " +
           kEraNames.at(static_cast<std::size_t>(era_));
  }
  std::vector<monotonic_time> CallTimes() const {
    std::vector<monotonic_time> times;
    for (std::size_t i = first_; i < store_.Reads().size(); ++i) {
      if (store_.Reads()[i].kind == kKind)
        times.push_back(store_.Reads()[i].at);
    }
    return times;
  }

 private:
  std::string Edit(const store_standin::read_call& call,
                   const std::string& answer) {
    if (!spoiling_ || call.kind != kKind) return answer;
    if (call.asked == part::kWatch && call.since > revision_) return answer;
    if (spoilt_ != part::kWatch) {
      // Has a list begin.
      if (call.asked == part::kWatch) return store_.Answer(410, "{}");
      if (call.asked != spoilt_ || left_ == 0) return answer;
      --left_;
    } else if (call.asked != part::kWatch) {
      return answer;
    } else if (how_ == answer_fault::kUnavailable ||
               how_ == answer_fault::kAhead) {
      if (left_ == 0) return answer;
      --left_;
    }
    if (era_ == answer_era::kNewer) store_.SetEra(kEra + 1);
    if (era_ == answer_era::kOlder) store_.SetEra(kEra - 1);
    std::string result = SpoiltAnswer(call);
    if (era_ == answer_era::kOlder) store_.SetEra(kEra);
    return result;
  }

  std::string SpoiltAnswer(const store_standin::read_call& call) const {
    const bool is_watch = call.asked == part::kWatch;
    const std::string key = is_watch ? "events" : "items";
    switch (how_) {
      case answer_fault::kUnreadable:
        return store_.Answer(200, "{\"" + key + "\":[");
      case answer_fault::kTooLarge:
        return "HTTP/1.1 200 X\r\nContent-Length: 9000000\r\n\r\n{";
      case answer_fault::kGone:
        return store_.Answer(410, "{}");
      case answer_fault::kUnavailable:
        return store_.Answer(503, "{}");
      case answer_fault::kRejected:
        return store_.Answer(400, "{}");
      case answer_fault::kBehind:
        return store_.Answer(200, json{{key, json::array()}, {"at", 1}}.dump());
      case answer_fault::kAhead:
        return store_.Answer(200, Ahead(key, is_watch));
      case answer_fault::kCutShort:
        return "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\nX\r\n";
    }
    return "";
  }

  std::string Ahead(const std::string& key, bool is_watch) const {
    json items = json::array();
    if (!is_watch)
      items.push_back({{"meta", {{"name", "i-1"}}}, {"spec", json::object()}});
    return json{{key, items}, {"at", store_.Revision() + kFarAhead}}.dump();
  }

  answer_era era_;
  part spoilt_;
  answer_fault how_;
  bool spoiling_ = false;
  std::size_t first_ = 0;
  std::int64_t revision_ = 0;
  int left_ = 0;
  store_standin store_;
  std::unique_ptr<mirrored_instance> instance_;
};

std::size_t MostInOneSecond(const std::vector<monotonic_time>& times) {
  std::size_t most = 0;
  for (auto from = times.begin(); from != times.end(); ++from) {
    const auto end =
        std::upper_bound(from, times.end(), *from + std::chrono::seconds(1));
    most = std::max(most, static_cast<std::size_t>(end - from));
  }
  return most;
}

}  // namespace

// Guards against a copy of the store that asks in vain for ever, or without a
// pause, whatever call is answered by what cannot be taken.
TEST_CASE("a copy reaches the newest state whatever answer cannot be taken",
          "[feed][mirror][vain]") {
  constexpr std::size_t kMaxCalls = 12;
  constexpr std::size_t kMaxCallsPerSecond = 8;
  for (const answer_era era : kEras) {
    loop_context loop;
    std::vector<std::unique_ptr<spoilt_copy>> copies;
    for (const part spoilt : kParts) {
      for (const answer_fault how : kFaults)
        copies.push_back(std::make_unique<spoilt_copy>(loop, era, spoilt, how));
    }
    const auto all = [&](bool (spoilt_copy::*done)() const) {
      return [&copies, done] {
        return std::all_of(copies.begin(), copies.end(), [&](const auto& each) {
          return (each.get()->*done)();
        });
      };
    };
    REQUIRE(RunUntil(loop, all(&spoilt_copy::IsRead)));
    for (const auto& each : copies) each->Spoil();
    std::vector<std::size_t> calls(copies.size(), 0);
    RunUntil(loop, [&] {
      for (std::size_t i = 0; i < copies.size(); ++i) {
        if (calls[i] == 0 && copies[i]->IsNewest())
          calls[i] = std::max<std::size_t>(1, copies[i]->CallTimes().size());
      }
      return std::count(calls.begin(), calls.end(), 0) == 0;
    });
    for (std::size_t i = 0; i < copies.size(); ++i) {
      INFO(copies[i]->Name());
      CHECK(copies[i]->IsNewest());
      CHECK(calls[i] <= kMaxCalls);
      CHECK(MostInOneSecond(copies[i]->CallTimes()) <= kMaxCallsPerSecond);
    }
  }
}

}  // namespace papayaglade
