#include "protocol/mirror_codec.h"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

#include "protocol/cbor_message.h"
#include "protocol/entry_settings_codec.h"

namespace papayaglade {

namespace {

using nlohmann::json;

// The type number is the first element of a message. Numbers are never reused.
enum class message_type { kSubscription, kPage, kSource, kFleet };

constexpr char kDataCentre[] = "data_centre";
constexpr char kControl[] = "control";
constexpr char kCores[] = "cores";
constexpr double kMaxCores = 1024;
// Longer ages do not differ, and subtracting this from a time does not
// overflow.
constexpr std::chrono::milliseconds kMaxAge = std::chrono::hours(24);

json EncodePositions(const std::vector<mirror_position>& positions) {
  json out = json::array();
  for (const mirror_position& each : positions) {
    out.push_back(static_cast<int>(each.kind));
    out.push_back(each.at.revision);
    out.push_back(each.digest);
  }
  return out;
}

std::vector<mirror_position> DecodePositions(const json& in) {
  std::vector<mirror_position> positions;
  for (std::size_t i = 0; i < in.size(); i += 3) {
    positions.push_back({DecodeEnum(in.at(i), stored_kind::kInstances),
                         {kNoEra, DecodeInteger<std::int64_t>(in.at(i + 1))},
                         DecodeInteger<std::uint64_t>(in.at(i + 2))});
  }
  return positions;
}

// One number where all eras are the same: that of the sender and those of the
// positions. Otherwise an array of the sender's and then those of the
// positions. Instances of earlier versions leave eras out and ignore those of
// others.
json EncodeEras(std::int64_t sender,
                const std::vector<mirror_position>& positions) {
  const bool same = std::all_of(
      positions.begin(), positions.end(),
      [&](const mirror_position& each) { return each.at.era == sender; });
  if (same) return sender;
  json eras = json::array({sender});
  for (const mirror_position& each : positions) eras.push_back(each.at.era);
  return eras;
}

std::int64_t DecodeEra(const json& in) {
  return std::max(kNoEra, DecodeInteger<std::int64_t>(in));
}

// Sets the eras of the positions and returns that of the sender.
std::int64_t DecodeEras(const json& message, std::size_t index,
                        std::vector<mirror_position>& positions) {
  if (index >= message.size()) return kNoEra;
  const json& in = message.at(index);
  for (std::size_t i = 0; i < positions.size(); ++i)
    positions[i].at.era = DecodeEra(in.is_array() ? in.at(i + 1) : in);
  return DecodeEra(in.is_array() ? in.at(0) : in);
}

// Instances of earlier versions leave ages out and ignore those of others.
constexpr int kUnknownAge = -1;

json EncodeAge(const std::optional<std::chrono::milliseconds>& age) {
  return age.has_value() ? age->count() : kUnknownAge;
}

std::optional<std::chrono::milliseconds> DecodeAge(const json& message,
                                                   std::size_t index) {
  if (index >= message.size()) return std::nullopt;
  const std::chrono::milliseconds age(
      DecodeInteger<std::int64_t>(message.at(index)));
  if (age.count() < 0) return std::nullopt;
  return std::min(age, kMaxAge);
}

std::string FormatControlAddress(const fleet_member& member) {
  if (member.control.port == 0) return "";
  return member.control.address + ":" + std::to_string(member.control.port);
}

struct encoder {
  json operator()(const mirror_subscription& message) const {
    return json::array({static_cast<int>(message_type::kSubscription),
                        message.instance, EncodePositions(message.positions),
                        EncodeEras(message.era, message.positions)});
  }

  json operator()(const mirror_page& page) const {
    json objects = json::array();
    for (const mirrored_object& each : page.objects) {
      objects.push_back(each.name);
      objects.push_back(each.deleted);
      objects.push_back(
          json::binary({each.document.begin(), each.document.end()}));
    }
    return json::array({static_cast<int>(message_type::kPage),
                        static_cast<int>(page.kind),
                        static_cast<int>(page.content), page.from.revision,
                        page.to.revision, page.base, std::move(objects),
                        EncodeAge(page.confirmed_age), page.to.era});
  }

  json operator()(const source_report& report) const {
    return json::array(
        {static_cast<int>(message_type::kSource),
         static_cast<int>(report.state), EncodePositions(report.positions),
         EncodeAge(report.upstreams_confirmed_age), report.store_unavailable,
         EncodeEras(report.era, report.positions)});
  }

  json operator()(const fleet_report& report) const {
    json members = json::array();
    for (const fleet_member& each : report.members) {
      members.push_back(each.name);
      members.push_back(each.data_centre);
      members.push_back(FormatControlAddress(each));
      members.push_back(each.cores);
    }
    return json::array(
        {static_cast<int>(message_type::kFleet), std::move(members)});
  }
};

// Returns 0, as for an unknown number, if the number cannot be right.
double DecodeCores(const json& in) {
  const double cores = in.is_number() ? in.get<double>() : 0;
  return cores >= 0 && cores <= kMaxCores ? cores : 0;
}

mirror_page DecodePage(const json& in) {
  mirror_page page;
  page.kind = DecodeEnum(in.at(1), stored_kind::kInstances);
  page.content = DecodeEnum(in.at(2), page_content::kDifference);
  page.from.revision = DecodeInteger<std::int64_t>(in.at(3));
  page.to.revision = DecodeInteger<std::int64_t>(in.at(4));
  page.base = DecodeInteger<std::uint64_t>(in.at(5));
  const json& objects = in.at(6);
  for (std::size_t i = 0; i < objects.size(); i += 3) {
    mirrored_object object;
    objects.at(i).get_to(object.name);
    objects.at(i + 1).get_to(object.deleted);
    const json::binary_t& document = objects.at(i + 2).get_binary();
    object.document.assign(document.begin(), document.end());
    page.objects.push_back(std::move(object));
  }
  constexpr std::size_t kAgeIndex = 7;
  constexpr std::size_t kEraIndex = 8;
  page.confirmed_age = DecodeAge(in, kAgeIndex);
  if (kEraIndex < in.size()) page.to.era = DecodeEra(in.at(kEraIndex));
  page.from.era = page.to.era;
  return page;
}

fleet_report DecodeFleet(const json& in) {
  fleet_report report;
  const json& members = in.at(1);
  for (std::size_t i = 0; i < members.size(); i += 4) {
    fleet_member member;
    members.at(i).get_to(member.name);
    members.at(i + 1).get_to(member.data_centre);
    const auto control = ParseEndpoint(members.at(i + 2).get<std::string>());
    member.control = control.value_or(endpoint());
    member.cores = DecodeCores(members.at(i + 3));
    report.members.push_back(std::move(member));
  }
  return report;
}

source_report DecodeReport(const json& in) {
  source_report report;
  report.state = DecodeEnum(in.at(1), source_state::kLost);
  report.positions = DecodePositions(in.at(2));
  constexpr std::size_t kAgeIndex = 3;
  constexpr std::size_t kUnavailableIndex = 4;
  report.upstreams_confirmed_age = DecodeAge(in, kAgeIndex);
  if (kUnavailableIndex < in.size())
    in.at(kUnavailableIndex).get_to(report.store_unavailable);
  constexpr std::size_t kEraIndex = 5;
  report.era = DecodeEras(in, kEraIndex, report.positions);
  return report;
}

mirror_subscription DecodeSubscription(const json& in) {
  mirror_subscription subscription;
  subscription.instance = in.at(1).get<std::string>();
  subscription.positions = DecodePositions(in.at(2));
  constexpr std::size_t kEraIndex = 3;
  subscription.era = DecodeEras(in, kEraIndex, subscription.positions);
  return subscription;
}

mirror_message Decode(const json& in) {
  switch (DecodeEnum(in.at(0), message_type::kFleet)) {
    case message_type::kSubscription:
      return DecodeSubscription(in);
    case message_type::kPage:
      return DecodePage(in);
    case message_type::kSource:
      return DecodeReport(in);
    case message_type::kFleet:
      return DecodeFleet(in);
  }
  throw std::out_of_range("message type");
}

}  // namespace

std::string EncodeMirrorMessage(const mirror_message& message) {
  return EncodeCbor(std::visit(encoder{}, message));
}

std::string EncodeMirrorPage(const mirror_page& page) {
  return EncodeCbor(encoder{}(page));
}

std::optional<mirror_message> DecodeMirrorMessage(const std::string& bytes) {
  return DecodeCborArray<std::optional<mirror_message>>(bytes, Decode);
}

mirrored_object ToMirroredObject(const stored_object& object) {
  if (object.deleted) return {object.name, true, ""};
  if (object.unreadable.empty()) {
    return {object.name, false, EncodeCbor(object.content)};
  }
  // JSON has no binary values, so one cannot be mistaken for content.
  const std::string& why = object.unreadable;
  return {object.name, false,
          EncodeCbor(json::binary({why.begin(), why.end()}))};
}

mirror_page ToMirrorPage(stored_kind kind, page_content content,
                         const store_position& from, const store_page& page) {
  mirror_page mirrored;
  mirrored.kind = kind;
  mirrored.content = content;
  mirrored.from = from;
  mirrored.to = page.position;
  std::set<std::string> names;
  std::vector<mirrored_object>& latest = mirrored.objects;
  for (auto each = page.objects.rbegin(); each != page.objects.rend(); ++each) {
    if (names.insert(each->name).second)
      latest.push_back(ToMirroredObject(*each));
  }
  std::reverse(latest.begin(), latest.end());
  return mirrored;
}

stored_object ToStoredObject(const mirrored_object& object) {
  stored_object result;
  result.name = object.name;
  result.deleted = object.deleted;
  if (object.deleted) return result;
  auto content = DecodeCbor(object.document);
  if (!content.has_value()) {
    result.unreadable = "malformed CBOR";
  } else if (content->is_binary()) {
    const json::binary_t& why = content->get_binary();
    result.unreadable.assign(why.begin(), why.end());
  } else {
    result.content = std::move(*content);
  }
  return result;
}

std::vector<stored_object> ToStoredObjects(
    const std::vector<mirrored_object>& objects) {
  std::vector<stored_object> result;
  result.reserve(objects.size());
  for (const mirrored_object& each : objects)
    result.push_back(ToStoredObject(each));
  return result;
}

stored_object EncodeMember(const fleet_member& member) {
  stored_object object;
  object.name = member.name;
  object.content = {{kDataCentre, member.data_centre},
                    {kControl, FormatControlAddress(member)},
                    {kCores, member.cores}};
  return object;
}

fleet_member DecodeMember(const stored_object& object) {
  fleet_member member;
  member.name = object.name;
  const json& content = object.content;
  if (!content.is_object()) return member;
  const auto data_centre = content.find(kDataCentre);
  if (data_centre != content.end() && data_centre->is_string()) {
    member.data_centre = data_centre->get<std::string>();
  }
  const auto control = content.find(kControl);
  if (control != content.end() && control->is_string()) {
    const auto address = ParseEndpoint(control->get<std::string>());
    member.control = address.value_or(endpoint());
  }
  const auto cores = content.find(kCores);
  if (cores != content.end()) member.cores = DecodeCores(*cores);
  return member;
}

}  // namespace papayaglade
