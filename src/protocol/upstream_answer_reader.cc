#include "protocol/upstream_answer_reader.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr int kMemberDepth = 1;  // Depth inside the outermost object.
constexpr int kHitsDepth = 2;    // Depth inside the array of hits.
constexpr int kHitDepth = 3;     // Depth inside one hit.
constexpr int kHitElements = 3;  // Key, score and text.

// Handles SAX events: an answer is parsed for every shard request, and building
// a JSON document cost more than the rest of the codec.
class answer_events : public nlohmann::json_sax<json> {
 public:
  upstream_reply TakeReply() {
    const bool complete = snapshot_seen_ && incarnation_seen_ && hits_seen_;
    if (complete) reply_.code = upstream_reply_code::kAnswered;
    return std::move(reply_);
  }

  bool null() override { return AcceptIgnored(); }
  bool boolean(bool /*value*/) override { return AcceptIgnored(); }
  bool binary(binary_t& /*value*/) override { return AcceptIgnored(); }

  bool number_integer(number_integer_t value) override {
    return AcceptNumber(static_cast<double>(value));
  }

  bool number_unsigned(number_unsigned_t value) override {
    if (depth_ == kMemberDepth && member_ == member::kSnapshot) {
      reply_.snapshot = value;
      snapshot_seen_ = true;
      return true;
    }
    return AcceptNumber(static_cast<double>(value));
  }

  bool number_float(number_float_t value, const string_t& /*text*/) override {
    return AcceptNumber(value);
  }

  bool string(string_t& value) override {
    if (depth_ == kMemberDepth && member_ == member::kIncarnation) {
      reply_.incarnation = std::move(value);
      incarnation_seen_ = true;
      return true;
    }
    if (!InHit()) return AcceptIgnored();
    if (element_ == 0) {
      reply_.hits.back().key = std::move(value);
    } else if (element_ == 2) {
      reply_.hits.back().text = std::move(value);
    } else {
      return false;
    }
    ++element_;
    return true;
  }

  bool start_object(std::size_t /*elements*/) override {
    if (depth_ > 0 && InHits()) return false;
    return ++depth_ > 0;
  }

  bool key(string_t& value) override {
    if (depth_ != kMemberDepth) return true;
    member_ = MemberOf(value);
    return true;
  }

  bool end_object() override { return --depth_ >= 0; }

  bool start_array(std::size_t /*elements*/) override {
    if (depth_ == 0) return false;
    const bool in_list = InHits() && depth_ == kHitsDepth;
    if (InHits() && depth_ == kMemberDepth) hits_seen_ = true;
    if (InHits() && depth_ >= kHitDepth) return false;
    if (in_list) {
      reply_.hits.emplace_back();
      element_ = 0;
    }
    return ++depth_ > 0;
  }

  bool end_array() override {
    if (InHit() && element_ != kHitElements) return false;
    return --depth_ >= 0;
  }

  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*cause*/) override {
    return false;
  }

 private:
  enum class member { kOther, kSnapshot, kIncarnation, kHits };

  static member MemberOf(const std::string& name) {
    if (name == "snapshot") return member::kSnapshot;
    if (name == "incarnation") return member::kIncarnation;
    if (name == "hits") return member::kHits;
    return member::kOther;
  }

  bool InHits() const { return member_ == member::kHits; }
  bool InHit() const { return InHits() && depth_ == kHitDepth; }

  bool AcceptNumber(double value) {
    if (!InHit()) return AcceptIgnored();
    if (element_ != 1) return false;
    reply_.hits.back().score = value;
    ++element_;
    return true;
  }

  // Accepts any value of an unknown member. A value of a known member that gets
  // here has the wrong type.
  bool AcceptIgnored() const { return depth_ > 0 && member_ == member::kOther; }

  upstream_reply reply_;
  member member_ = member::kOther;
  int depth_ = 0;
  int element_ = 0;
  bool snapshot_seen_ = false;
  bool incarnation_seen_ = false;
  bool hits_seen_ = false;
};

}  // namespace

upstream_reply ReadUpstreamAnswer(const std::string& text) {
  answer_events events;
  if (!json::sax_parse(text, &events)) return {};
  return events.TakeReply();
}

}  // namespace papayaglade
