#include "protocol/peer_codec.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "protocol/cbor_message.h"
#include "protocol/control_codec.h"

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::microseconds;

// The type number is the first element of a message. Numbers are never reused.
enum class message_type { kHello, kBatch, kResults, kCancel, kControl };

json StartMessage(message_type type) {
  return json::array({static_cast<int>(type)});
}

struct encoder {
  json operator()(const peer_hello& hello) const {
    json out = StartMessage(message_type::kHello);
    out.push_back(hello.identity.name);
    out.push_back(hello.identity.incarnation);
    out.push_back(hello.data_centre);
    out.push_back(hello.peer_key);
    return out;
  }

  json operator()(const shard_batch& batch) const {
    json out = StartMessage(message_type::kBatch);
    out.push_back(batch.origin.name);
    out.push_back(batch.origin.incarnation);
    out.push_back(batch.request_id);
    out.push_back(batch.service);
    out.push_back(batch.workload);
    out.push_back(batch.caller);
    out.push_back(static_cast<int>(batch.priority));
    out.push_back(batch.repeatable);
    out.push_back(batch.snapshot);
    out.push_back(batch.query);
    out.push_back(batch.time_left.count());
    json attempts = json::array();
    for (const shard_attempt& attempt : batch.attempts) {
      attempts.push_back(attempt.attempt_id);
      attempts.push_back(attempt.shard);
      attempts.push_back(attempt.upstream);
    }
    out.push_back(std::move(attempts));
    return out;
  }

  json operator()(const shard_results& message) const {
    json out = StartMessage(message_type::kResults);
    for (const shard_result& result : message.results) {
      out.push_back(EncodeResult(result));
    }
    return out;
  }

  json operator()(const shard_cancel& cancel) const {
    json out = StartMessage(message_type::kCancel);
    out.push_back(cancel.origin.name);
    out.push_back(cancel.origin.incarnation);
    out.push_back(cancel.attempt_ids);
    return out;
  }

  json operator()(const control_message& message) const {
    json out = StartMessage(message_type::kControl);
    out.push_back(EncodeControlMessage(message));
    return out;
  }

 private:
  static json EncodeResult(const shard_result& result) {
    json hits = json::array();
    for (const hit& each : result.hits) {
      hits.push_back(each.key);
      hits.push_back(each.score);
      hits.push_back(each.text);
    }
    json out = json::array();
    out.push_back(result.attempt_id);
    out.push_back(static_cast<int>(result.status));
    out.push_back(static_cast<int>(result.reason));
    out.push_back(result.snapshot);
    out.push_back(std::move(hits));
    out.push_back(result.snapshots_held);
    out.push_back(result.queue_time.count());
    out.push_back(result.upstream_time.count());
    return out;
  }
};

// The decoders below throw a std::exception if a message has the wrong
// structure or a wrong type.

instance_identity DecodeIdentity(const json& name, const json& incarnation) {
  return {name.get<std::string>(), incarnation.get<std::uint64_t>()};
}

peer_message DecodeHello(const json& in) {
  peer_hello hello;
  hello.identity = DecodeIdentity(in.at(1), in.at(2));
  in.at(3).get_to(hello.data_centre);
  in.at(4).get_to(hello.peer_key);
  return hello;
}

peer_message DecodeBatch(const json& in) {
  shard_batch batch;
  batch.origin = DecodeIdentity(in.at(1), in.at(2));
  in.at(3).get_to(batch.request_id);
  in.at(4).get_to(batch.service);
  in.at(5).get_to(batch.workload);
  in.at(6).get_to(batch.caller);
  batch.priority = DecodeEnum(in.at(7), request_class::kArchive);
  in.at(8).get_to(batch.repeatable);
  in.at(9).get_to(batch.snapshot);
  in.at(10).get_to(batch.query);
  batch.time_left = microseconds(in.at(11).get<std::int64_t>());
  const json& attempts = in.at(12);
  for (std::size_t i = 0; i < attempts.size(); i += 3) {
    batch.attempts.push_back({attempts.at(i).get<std::uint64_t>(),
                              attempts.at(i + 1).get<std::string>(),
                              attempts.at(i + 2).get<std::string>()});
  }
  return batch;
}

shard_result DecodeResult(const json& in) {
  shard_result result;
  in.at(0).get_to(result.attempt_id);
  result.status = DecodeEnum(in.at(1), shard_status::kSnapshotGone);
  result.reason = DecodeEnum(in.at(2), shard_reason::kUpstreamError);
  in.at(3).get_to(result.snapshot);
  const json& hits = in.at(4);
  for (std::size_t i = 0; i < hits.size(); i += 3) {
    result.hits.push_back({hits.at(i).get<std::string>(),
                           hits.at(i + 1).get<double>(),
                           hits.at(i + 2).get<std::string>()});
  }
  in.at(5).get_to(result.snapshots_held);
  result.queue_time = microseconds(in.at(6).get<std::int64_t>());
  result.upstream_time = microseconds(in.at(7).get<std::int64_t>());
  return result;
}

peer_message DecodeResults(const json& in) {
  shard_results message;
  for (std::size_t i = 1; i < in.size(); ++i) {
    message.results.push_back(DecodeResult(in.at(i)));
  }
  return message;
}

peer_message DecodeCancel(const json& in) {
  shard_cancel cancel;
  cancel.origin = DecodeIdentity(in.at(1), in.at(2));
  in.at(3).get_to(cancel.attempt_ids);
  return cancel;
}

std::optional<peer_message> Decode(const json& in) {
  switch (DecodeEnum(in.at(0), message_type::kControl)) {
    case message_type::kHello:
      return DecodeHello(in);
    case message_type::kBatch:
      return DecodeBatch(in);
    case message_type::kResults:
      return DecodeResults(in);
    case message_type::kCancel:
      return DecodeCancel(in);
    case message_type::kControl: {
      std::optional<control_message> control = DecodeControlMessage(in.at(1));
      if (!control.has_value()) return std::nullopt;
      return peer_message(*std::move(control));
    }
  }
  return std::nullopt;
}

}  // namespace

std::string EncodePeerMessage(const peer_message& message) {
  return EncodeCbor(std::visit(encoder{}, message));
}

std::optional<peer_message> DecodePeerMessage(const std::string& bytes) {
  return DecodeCborArray<std::optional<peer_message>>(bytes, Decode);
}

}  // namespace papayaglade
