#include "protocol/control_codec.h"

namespace papayaglade {

namespace {

using nlohmann::json;

// First element of each message; numbers are never reused.
constexpr int kProbe = 0;
constexpr int kProbeReply = 1;

struct encoder {
  json operator()(const probe& message) const {
    return json::array({kProbe, message.sequence});
  }
  json operator()(const probe_reply& message) const {
    return json::array({kProbeReply, message.sequence});
  }
};

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
    default:
      return std::nullopt;
  }
}

}  // namespace papayaglade
