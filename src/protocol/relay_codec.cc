#include "protocol/relay_codec.h"

#include <algorithm>
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
constexpr std::size_t kMaxRecords = 1'000'000;
constexpr char kLineEnd = '\n';
constexpr milliseconds kMaxTime = std::chrono::hours(24);

json EncodeBytes(const std::string& bytes) {
  return json::binary({bytes.begin(), bytes.end()});
}

std::string DecodeBytes(const json& in) {
  const json::binary_t& bytes = in.get_binary();
  return {bytes.begin(), bytes.end()};
}

milliseconds DecodeTime(const json& in) {
  const milliseconds time(DecodeInteger<std::int64_t>(in));
  if (time.count() < 0 || time > kMaxTime) throw std::out_of_range("time");
  return time;
}

const json& Limited(const json& list, std::size_t elements_of_each) {
  if (!list.is_array() || list.size() > kMaxLegs * elements_of_each)
    throw std::out_of_range("list");
  return list;
}

json EncodeNotices(const std::vector<relay_notice>& notices) {
  json out = json::array();
  for (const relay_notice& each : notices) {
    out.push_back(each.upstream);
    out.push_back(each.start_time_ms);
    out.push_back(each.leaving);
    out.push_back(each.retry_after.count());
  }
  return out;
}

std::vector<relay_notice> DecodeNotices(const json& in) {
  std::vector<relay_notice> notices;
  for (std::size_t i = 0; i < Limited(in, 4).size(); i += 4) {
    notices.push_back({in.at(i).get<std::string>(),
                       DecodeInteger<std::int64_t>(in.at(i + 1)),
                       in.at(i + 2).get<bool>(), DecodeTime(in.at(i + 3))});
  }
  return notices;
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

std::vector<std::string> DecodeLines(const json& in, std::size_t count) {
  const json::binary_t& bytes = in.get_binary();
  std::vector<std::string> lines;
  auto begin = bytes.begin();
  while (lines.size() < count) {
    const auto end = std::find(begin, bytes.end(), kLineEnd);
    lines.emplace_back(begin, end);
    if (end == bytes.end()) break;
    begin = end + 1;
  }
  if (lines.size() != count) throw std::out_of_range("lines");
  return lines;
}

struct encoder {
  json operator()(const relay_request& message) const {
    json numbers = json::array();
    for (const relay_leg& each : message.legs) numbers.push_back(each.number);
    const entry_request& request = message.request;
    return json::array(
        {static_cast<int>(message_type::kRequest), message.id, message.route,
         EncodeBytes(request.id), EncodeBytes(request.method),
         EncodeBytes(request.upstream_head), EncodeBytes(request.body),
         message.top_records, message.time_left.count(),
         message.flush_after.count(), std::move(numbers),
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
    return json::array(
        {static_cast<int>(message_type::kReply), message.id, std::move(parts),
         EncodeLines(message.parts,
                     [](const relay_part& each) { return each.signature; }),
         EncodeBytes(message.records), std::move(ends),
         EncodeNotices(message.notices), message.stopping});
  }

  json operator()(const relay_cancel& message) const {
    return json::array({static_cast<int>(message_type::kCancel), message.id,
                        json(message.numbers)});
  }
};

relay_request DecodeRequest(const json& in) {
  relay_request message;
  message.id = DecodeInteger<std::uint64_t>(in.at(1));
  in.at(2).get_to(message.route);
  message.request.id = DecodeBytes(in.at(3));
  message.request.method = DecodeBytes(in.at(4));
  message.request.upstream_head = DecodeBytes(in.at(5));
  message.request.body = DecodeBytes(in.at(6));
  message.top_records = DecodeInteger<std::size_t>(in.at(7));
  if (message.top_records > kMaxRecords) throw std::out_of_range("records");
  message.time_left = DecodeTime(in.at(8));
  message.flush_after = DecodeTime(in.at(9));
  const json& numbers = Limited(in.at(10), 1);
  std::vector<std::string> services = DecodeLines(in.at(11), numbers.size());
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    message.legs.push_back(
        {DecodeInteger<std::uint64_t>(numbers.at(i)), std::move(services[i])});
  }
  return message;
}

relay_reply DecodeReply(const json& in) {
  relay_reply message;
  message.id = DecodeInteger<std::uint64_t>(in.at(1));
  const json& parts = Limited(in.at(2), 2);
  std::vector<std::string> signatures = DecodeLines(in.at(3), parts.size() / 2);
  for (std::size_t i = 0; i < parts.size(); i += 2) {
    message.parts.push_back({DecodeInteger<std::uint64_t>(parts.at(i)),
                             std::move(signatures[i / 2]),
                             DecodeTime(parts.at(i + 1))});
  }
  message.records = DecodeBytes(in.at(4));
  const json& ends = Limited(in.at(5), 2);
  for (std::size_t i = 0; i < ends.size(); i += 2) {
    message.ends.push_back({DecodeInteger<std::uint64_t>(ends.at(i)),
                            DecodeEnum(ends.at(i + 1), attempt_end::kBroken)});
  }
  message.notices = DecodeNotices(in.at(6));
  in.at(7).get_to(message.stopping);
  return message;
}

relay_cancel DecodeCancel(const json& in) {
  relay_cancel message;
  message.id = DecodeInteger<std::uint64_t>(in.at(1));
  for (const json& each : Limited(in.at(2), 1))
    message.numbers.push_back(DecodeInteger<std::uint64_t>(each));
  return message;
}

std::optional<relay_message> Decode(const json& in) {
  switch (DecodeEnum(in.at(0), message_type::kCancel)) {
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
  return DecodeCborArray<std::optional<relay_message>>(bytes, Decode);
}

}  // namespace papayaglade
