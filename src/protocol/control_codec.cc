#include "protocol/control_codec.h"

#include <stdexcept>
#include <utility>

#include "protocol/cbor_message.h"

namespace papayaglade {

namespace {

using nlohmann::json;

// The type number is the first element of a message. Numbers are never reused.
constexpr int kProbe = 0;
constexpr int kProbeReply = 1;
constexpr int kProbeRequest = 2;
constexpr int kMemberList = 3;
constexpr int kVersionSummary = 4;
constexpr int kVersionDigest = 5;
constexpr int kObjectRequest = 6;
constexpr int kObjectReply = 7;
constexpr int kStandingRequest = 20;
constexpr int kStandingReply = 21;
constexpr int kStewardshipHandover = 22;
constexpr int kStewardshipHandoverAck = 23;

// No correct sender comes close to these limits. They bound the cost of
// messages from a faulty sender.
constexpr std::size_t kMaxMembers = 4096;
constexpr std::size_t kMaxEntries = 65'536;
constexpr std::size_t kMaxNameBytes = 512;

json Encode(const member_update& update) {
  return json::array({update.identity.name, update.identity.incarnation,
                      update.peers.address, update.peers.port,
                      static_cast<int>(update.state), update.refutation,
                      update.operators.address, update.operators.port});
}

json Encode(const std::vector<member_update>& updates) {
  json out = json::array();
  for (const member_update& each : updates) out.push_back(Encode(each));
  return out;
}

struct encoder {
  json operator()(const probe& message) const {
    return json::array({kProbe, message.sequence, message.versions_hash,
                        Encode(message.updates)});
  }
  json operator()(const probe_reply& message) const {
    return json::array({kProbeReply, message.sequence, message.versions_hash,
                        Encode(message.updates)});
  }
  json operator()(const probe_request& message) const {
    return json::array({kProbeRequest, message.sequence, message.target.name,
                        message.target.incarnation, Encode(message.updates)});
  }
  json operator()(const member_list& message) const {
    return json::array({kMemberList, message.reply_wanted, message.data_centre,
                        Encode(message.members)});
  }
  json operator()(const version_summary& message) const {
    return json::array({kVersionSummary, message.versions_hash});
  }
  json operator()(const version_digest& message) const {
    json out = json::array({kVersionDigest, message.complete});
    for (const version_entry& each : message.entries) {
      out.push_back(json::array(
          {static_cast<int>(each.key.kind), each.key.name, each.version}));
    }
    return out;
  }
  json operator()(const object_request& message) const {
    return json::array(
        {kObjectRequest, static_cast<int>(message.key.kind), message.key.name});
  }
  json operator()(const object_reply& message) const {
    const versioned_object& object = message.object;
    return json::array({kObjectReply, message.busy,
                        static_cast<int>(object.key.kind), object.key.name,
                        object.version, object.value});
  }
  json operator()(const standing_request& message) const {
    return json::array({kStandingRequest, message.sequence, message.epoch});
  }
  json operator()(const standing_reply& message) const {
    return json::array({kStandingReply, message.sequence, message.epoch,
                        message.released_epoch, message.proof_age.count()});
  }
  json operator()(const stewardship_handover& message) const {
    json upstreams = json::array();
    for (const handover& each : message.upstreams) {
      upstreams.push_back(json::array({each.upstream, each.state}));
    }
    return json::array(
        {kStewardshipHandover, message.epoch, std::move(upstreams)});
  }
  json operator()(const stewardship_handover_ack& message) const {
    return json::array({kStewardshipHandoverAck, message.epoch});
  }
};

// The decoders below throw a std::exception if a message has the wrong
// structure, a wrong type or an excessive size.

std::string DecodeName(const json& value) {
  auto name = value.get<std::string>();
  if (name.size() > kMaxNameBytes) throw std::length_error("name");
  return name;
}

member_update DecodeUpdate(const json& in) {
  member_update update;
  update.identity = {DecodeName(in.at(0)), in.at(1).get<std::uint64_t>()};
  update.peers = {DecodeName(in.at(2)), in.at(3).get<std::uint16_t>()};
  update.state = DecodeEnum(in.at(4), member_state::kLeft);
  in.at(5).get_to(update.refutation);
  update.operators = {DecodeName(in.at(6)), in.at(7).get<std::uint16_t>()};
  return update;
}

std::vector<member_update> DecodeUpdates(const json& in) {
  if (in.size() > kMaxMembers) throw std::length_error("members");
  std::vector<member_update> updates;
  updates.reserve(in.size());
  for (const json& each : in) updates.push_back(DecodeUpdate(each));
  return updates;
}

object_key DecodeKey(const json& kind, const json& name) {
  return {DecodeEnum(kind, object_kind::kOrder), DecodeName(name)};
}

template <typename Message>
Message DecodeProbe(const json& in) {
  Message message;
  in.at(1).get_to(message.sequence);
  in.at(2).get_to(message.versions_hash);
  message.updates = DecodeUpdates(in.at(3));
  return message;
}

probe_request DecodeProbeRequest(const json& in) {
  probe_request message;
  in.at(1).get_to(message.sequence);
  message.target = {DecodeName(in.at(2)), in.at(3).get<std::uint64_t>()};
  message.updates = DecodeUpdates(in.at(4));
  return message;
}

member_list DecodeMemberList(const json& in) {
  member_list message;
  in.at(1).get_to(message.reply_wanted);
  message.data_centre = DecodeName(in.at(2));
  message.members = DecodeUpdates(in.at(3));
  return message;
}

version_digest DecodeVersionDigest(const json& in) {
  if (in.size() > kMaxEntries) throw std::length_error("entries");
  version_digest message;
  in.at(1).get_to(message.complete);
  for (std::size_t i = 2; i < in.size(); ++i) {
    const json& entry = in.at(i);
    message.entries.push_back({DecodeKey(entry.at(0), entry.at(1)),
                               entry.at(2).get<std::uint64_t>()});
  }
  return message;
}

object_reply DecodeObjectReply(const json& in) {
  object_reply message;
  in.at(1).get_to(message.busy);
  message.object.key = DecodeKey(in.at(2), in.at(3));
  in.at(4).get_to(message.object.version);
  in.at(5).get_to(message.object.value);
  return message;
}

standing_reply DecodeStandingReply(const json& in) {
  standing_reply message;
  in.at(1).get_to(message.sequence);
  in.at(2).get_to(message.epoch);
  in.at(3).get_to(message.released_epoch);
  message.proof_age = std::chrono::microseconds(in.at(4).get<std::int64_t>());
  return message;
}

stewardship_handover DecodeHandover(const json& in) {
  stewardship_handover message;
  in.at(1).get_to(message.epoch);
  for (const json& each : in.at(2)) {
    message.upstreams.push_back(
        {each.at(0).get<std::string>(), each.at(1).get<std::string>()});
  }
  return message;
}

}  // namespace

nlohmann::json EncodeControlMessage(const control_message& message) {
  return std::visit(encoder{}, message);
}

std::optional<control_message> DecodeControlMessage(const nlohmann::json& in) {
  switch (in.at(0).get<int>()) {
    case kProbe:
      return DecodeProbe<probe>(in);
    case kProbeReply:
      return DecodeProbe<probe_reply>(in);
    case kProbeRequest:
      return DecodeProbeRequest(in);
    case kMemberList:
      return DecodeMemberList(in);
    case kVersionSummary:
      return version_summary{in.at(1).get<std::uint64_t>()};
    case kVersionDigest:
      return DecodeVersionDigest(in);
    case kObjectRequest:
      return object_request{DecodeKey(in.at(1), in.at(2))};
    case kObjectReply:
      return DecodeObjectReply(in);
    case kStandingRequest:
      return standing_request{in.at(1).get<std::uint64_t>(),
                              in.at(2).get<std::uint64_t>()};
    case kStandingReply:
      return DecodeStandingReply(in);
    case kStewardshipHandover:
      return DecodeHandover(in);
    case kStewardshipHandoverAck:
      return stewardship_handover_ack{in.at(1).get<std::uint64_t>()};
    default:
      return std::nullopt;
  }
}

}  // namespace papayaglade
