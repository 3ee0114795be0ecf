#include "protocol/relay_codec.h"

#include <algorithm>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "protocol/cbor_message.h"

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

// The type number is the first element of a message. The numbers below 8 are
// those of mirror messages. Numbers are never reused.
enum class message_type { kRequest = 8, kReply = 9, kCancel = 10 };

// CBOR encodes an array of fewer than 24 elements as this byte plus their
// number, and integers below 24 as themselves.
constexpr unsigned char kShortArray = 0x80;
constexpr unsigned char kShortArrayEnd = 0x98;

constexpr std::size_t kMaxLegs = 4096;
constexpr std::size_t kMaxFields = 16;
constexpr std::size_t kMaxNumbers = 4 * kMaxLegs;
constexpr std::size_t kMaxRecords = 1'000'000;
constexpr char kLineEnd = '\n';
constexpr milliseconds kMaxTime = std::chrono::hours(24);

/// One element of a message: a number, bytes, or a list of numbers.
struct field {
  std::vector<std::uint64_t> numbers;
  json::binary_t bytes;

  std::uint64_t Number() const { return numbers.at(0); }
  std::string Text() const { return {bytes.begin(), bytes.end()}; }
  milliseconds Time() const { return ToTime(Number()); }

  static milliseconds ToTime(std::uint64_t number) {
    if (number > static_cast<std::uint64_t>(kMaxTime.count()))
      throw std::out_of_range("time");
    return milliseconds(static_cast<std::int64_t>(number));
  }
};

using field_list = std::vector<field>;

// Reads a message into its elements. A message comes for each few shard
// requests, and building a JSON document costs three times as much.
class message_events : public nlohmann::json_sax<json> {
 public:
  field_list TakeFields() { return std::move(fields_); }

  bool null() override { return false; }
  bool boolean(bool value) override { return AddNumber(value ? 1 : 0); }
  bool number_integer(number_integer_t /*negative*/) override { return false; }
  bool number_unsigned(number_unsigned_t value) override {
    return AddNumber(value);
  }
  bool number_float(number_float_t /*value*/,
                    const string_t& /*text*/) override {
    return false;
  }
  bool string(string_t& /*value*/) override { return false; }
  bool binary(binary_t& value) override {
    if (depth_ != 1 || fields_.size() >= kMaxFields) return false;
    fields_.emplace_back();
    fields_.back().bytes = std::move(value);
    return true;
  }
  bool start_object(std::size_t /*elements*/) override { return false; }
  bool key(string_t& /*value*/) override { return false; }
  bool end_object() override { return false; }
  bool start_array(std::size_t /*elements*/) override {
    ++depth_;
    if (depth_ == 1) return true;
    if (depth_ > 2 || fields_.size() >= kMaxFields) return false;
    fields_.emplace_back();
    return true;
  }
  bool end_array() override {
    --depth_;
    return true;
  }
  bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                   const nlohmann::detail::exception& /*cause*/) override {
    return false;
  }

 private:
  bool AddNumber(std::uint64_t value) {
    if (depth_ == 0 || ++count_ > kMaxNumbers) return false;
    if (depth_ == 1) {
      if (fields_.size() >= kMaxFields) return false;
      fields_.emplace_back();
    }
    fields_.back().numbers.push_back(value);
    return true;
  }

  field_list fields_;
  int depth_ = 0;
  std::size_t count_ = 0;
};

json EncodeBytes(const std::string& bytes) {
  return json::binary({bytes.begin(), bytes.end()});
}

// Texts of one line each are joined, because each value of its own costs the
// decoder several allocations.
template <typename List, typename TextOf>
json EncodeLines(const List& list, const TextOf& text_of) {
  std::string lines;
  for (const auto& each : list) {
    if (!lines.empty()) lines += kLineEnd;
    lines += text_of(each);
  }
  return EncodeBytes(lines);
}

std::vector<std::string> DecodeLines(const field& in, std::size_t count) {
  std::vector<std::string> lines;
  lines.reserve(count);
  auto begin = in.bytes.begin();
  while (lines.size() < count) {
    const auto end = std::find(begin, in.bytes.end(), kLineEnd);
    lines.emplace_back(begin, end);
    if (end == in.bytes.end()) break;
    begin = end + 1;
  }
  if (lines.size() != count) throw std::out_of_range("lines");
  return lines;
}

/// Returns how many groups of `size` numbers the list has.
std::size_t CountGroups(const field& in, std::size_t size) {
  const std::size_t count = in.numbers.size() / size;
  if (in.numbers.size() % size != 0 || count > kMaxLegs)
    throw std::out_of_range("list");
  return count;
}

struct encoder {
  json operator()(const relay_request& message) const {
    json numbers = json::array();
    for (const relay_leg& each : message.legs) numbers.push_back(each.number);
    const entry_request& request = message.request;
    return json::array(
        {static_cast<int>(message_type::kRequest), message.id,
         EncodeBytes(message.route), EncodeBytes(request.id),
         EncodeBytes(request.method), EncodeBytes(request.upstream_head),
         EncodeBytes(request.body), message.top_records,
         message.time_left.count(), message.flush_after.count(),
         std::move(numbers),
         EncodeLines(message.legs,
                     [](const relay_leg& each) { return each.service; })});
  }

  json operator()(const relay_reply& message) const {
    json parts = json::array();
    for (const relay_part& each : message.parts) {
      parts.push_back(each.number);
      parts.push_back(each.latency.count());
    }
    json ends = json::array();
    for (const relay_end& each : message.ends) {
      ends.push_back(each.number);
      ends.push_back(static_cast<int>(each.end));
    }
    json notices = json::array();
    for (const relay_notice& each : message.notices) {
      notices.push_back(each.start_time_ms);
      notices.push_back(each.leaving ? 1 : 0);
      notices.push_back(each.retry_after.count());
    }
    return json::array(
        {static_cast<int>(message_type::kReply), message.id, std::move(parts),
         EncodeLines(message.parts,
                     [](const relay_part& each) { return each.signature; }),
         EncodeBytes(message.records), std::move(ends), std::move(notices),
         EncodeLines(message.notices,
                     [](const relay_notice& each) { return each.upstream; }),
         message.stopping});
  }

  json operator()(const relay_cancel& message) const {
    return json::array({static_cast<int>(message_type::kCancel), message.id,
                        json(message.numbers)});
  }
};

relay_request DecodeRequest(const field_list& in) {
  relay_request message;
  message.id = in.at(1).Number();
  message.route = in.at(2).Text();
  message.request.id = in.at(3).Text();
  message.request.method = in.at(4).Text();
  message.request.upstream_head = in.at(5).Text();
  message.request.body = in.at(6).Text();
  message.top_records = in.at(7).Number();
  if (message.top_records > kMaxRecords) throw std::out_of_range("records");
  message.time_left = in.at(8).Time();
  message.flush_after = in.at(9).Time();
  const field& numbers = in.at(10);
  const std::size_t count = CountGroups(numbers, 1);
  std::vector<std::string> services = DecodeLines(in.at(11), count);
  message.legs.reserve(count);
  for (std::size_t i = 0; i < count; ++i)
    message.legs.push_back({numbers.numbers[i], std::move(services[i])});
  return message;
}

std::vector<relay_part> DecodeParts(const field& in, const field& lines) {
  const std::size_t count = CountGroups(in, 2);
  std::vector<std::string> signatures = DecodeLines(lines, count);
  std::vector<relay_part> parts;
  parts.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    parts.push_back({in.numbers[2 * i], std::move(signatures[i]),
                     field::ToTime(in.numbers[2 * i + 1])});
  }
  return parts;
}

std::vector<relay_end> DecodeEnds(const field& in) {
  const std::size_t count = CountGroups(in, 2);
  std::vector<relay_end> ends;
  ends.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t end = in.numbers[2 * i + 1];
    if (end > static_cast<std::uint64_t>(attempt_end::kBroken))
      throw std::out_of_range("end");
    ends.push_back({in.numbers[2 * i], static_cast<attempt_end>(end)});
  }
  return ends;
}

std::vector<relay_notice> DecodeNotices(const field& in, const field& lines) {
  const std::size_t count = CountGroups(in, 3);
  std::vector<std::string> upstreams = DecodeLines(lines, count);
  std::vector<relay_notice> notices;
  notices.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    const std::uint64_t start = in.numbers[3 * i];
    if (start > static_cast<std::uint64_t>(INT64_MAX))
      throw std::out_of_range("start");
    notices.push_back(
        {std::move(upstreams[i]), static_cast<std::int64_t>(start),
         in.numbers[3 * i + 1] != 0, field::ToTime(in.numbers[3 * i + 2])});
  }
  return notices;
}

relay_reply DecodeReply(const field_list& in) {
  relay_reply message;
  message.id = in.at(1).Number();
  message.parts = DecodeParts(in.at(2), in.at(3));
  message.records = in.at(4).Text();
  message.ends = DecodeEnds(in.at(5));
  message.notices = DecodeNotices(in.at(6), in.at(7));
  message.stopping = in.at(8).Number() != 0;
  return message;
}

relay_cancel DecodeCancel(const field_list& in) {
  relay_cancel message;
  message.id = in.at(1).Number();
  CountGroups(in.at(2), 1);
  message.numbers = in.at(2).numbers;
  return message;
}

std::optional<relay_message> Decode(const field_list& in) {
  switch (static_cast<message_type>(in.at(0).Number())) {
    case message_type::kRequest:
      return DecodeRequest(in);
    case message_type::kReply:
      return DecodeReply(in);
    case message_type::kCancel:
      return DecodeCancel(in);
  }
  return std::nullopt;
}

}  // namespace

std::string EncodeRelayMessage(const relay_message& message) {
  return EncodeCbor(std::visit(encoder{}, message));
}

bool IsRelayMessage(const std::string& bytes) {
  if (bytes.size() < 2) return false;
  const auto array = static_cast<unsigned char>(bytes[0]);
  const int type = static_cast<unsigned char>(bytes[1]);
  return array >= kShortArray && array < kShortArrayEnd &&
         type >= static_cast<int>(message_type::kRequest) &&
         type <= static_cast<int>(message_type::kCancel);
}

std::optional<relay_message> DecodeRelayMessage(const std::string& bytes) {
  message_events events;
  if (!IsRelayMessage(bytes) || !ReadCbor(bytes, events)) return std::nullopt;
  try {
    return Decode(events.TakeFields());
  } catch (const std::out_of_range&) {
    return std::nullopt;
  }
}

}  // namespace papayaglade
