#include "protocol/control_codec.h"

#include <utility>

namespace papayaglade {

namespace {

using nlohmann::json;

// First element of each message; numbers are never reused.
constexpr int kProbe = 0;
constexpr int kProbeReply = 1;
constexpr int kStandingQuestion = 20;
constexpr int kStandingAnswer = 21;
constexpr int kStewardshipHandover = 22;
constexpr int kStewardshipHandoverAck = 23;

struct encoder {
  json operator()(const probe& message) const {
    return json::array({kProbe, message.sequence});
  }
  json operator()(const probe_reply& message) const {
    return json::array({kProbeReply, message.sequence});
  }
  json operator()(const standing_question& message) const {
    return json::array({kStandingQuestion, message.sequence, message.epoch});
  }
  json operator()(const standing_answer& message) const {
    return json::array({kStandingAnswer, message.sequence, message.epoch,
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

standing_answer DecodeStandingAnswer(const json& in) {
  standing_answer message;
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
      return probe{in.at(1).get<std::uint64_t>()};
    case kProbeReply:
      return probe_reply{in.at(1).get<std::uint64_t>()};
    case kStandingQuestion:
      return standing_question{in.at(1).get<std::uint64_t>(),
                               in.at(2).get<std::uint64_t>()};
    case kStandingAnswer:
      return DecodeStandingAnswer(in);
    case kStewardshipHandover:
      return DecodeHandover(in);
    case kStewardshipHandoverAck:
      return stewardship_handover_ack{in.at(1).get<std::uint64_t>()};
    default:
      return std::nullopt;
  }
}

}  // namespace papayaglade
