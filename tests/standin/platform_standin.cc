#include "platform_standin.h"

#include <boost/asio/steady_timer.hpp>
#include <vector>

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxValueBytes = 1024UL * 1024;
constexpr std::uint64_t kRetainedRevisions = 1000;
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;
constexpr int kStatusTooLarge = 413;

std::vector<std::string> Split(const std::string& text, char separator) {
  std::vector<std::string> parts;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t end = std::min(text.find(separator, start), text.size());
    parts.push_back(text.substr(start, end - start));
    start = end + 1;
  }
  return parts;
}

std::map<std::string, std::uint64_t> QueryNumbers(const std::string& query) {
  std::map<std::string, std::uint64_t> query_numbers;
  for (const std::string& part : Split(query, '&')) {
    const std::size_t equals_sign = part.find('=');
    if (equals_sign == std::string::npos) continue;
    query_numbers[part.substr(0, equals_sign)] =
        std::stoull(part.substr(equals_sign + 1));
  }
  return query_numbers;
}

http_response Reply(int status, const json& body = json::object()) {
  return {status, "application/json", body.dump()};
}

// Calls `then` once after `delay`.
template <typename Then>
void CallAfter(boost::asio::io_context& io, milliseconds delay, Then then) {
  auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
  timer->async_wait([timer, then = std::move(then)](
                        const boost::system::error_code&) { then(); });
}

}  // namespace

platform_standin::platform_standin(boost::asio::io_context& io,
                                   const json& definition)
    : io_(io), lag_(definition.value("lag_ms", 0)) {
  for (const json& each : definition.at("ports")) {
    caller_listener& added = listeners_.emplace_back();
    added.caller = each.at("caller");
    added.port = std::make_unique<http_port>(
        io, each.at("port").get<std::uint16_t>(),
        [this, &added](const http_request& request,
                       const http_port::responder& respond) {
          Receive(added, request, respond);
        });
  }
}

bool platform_standin::Open() {
  bool opened = true;
  for (caller_listener& each : listeners_) opened = each.port->Open() && opened;
  return opened;
}

void platform_standin::Command(const json& command) {
  const std::string action = command.at("do");
  if (action == "refuse") return SetOutage(command, outage_mode::kRefuse);
  if (action == "hang") return SetOutage(command, outage_mode::kHang);
  if (action == "slow") return SetOutage(command, outage_mode::kSlow);
  if (action == "heal") return SetOutage(command, outage_mode::kNone);
  if (action == "lose") {
    answers_to_lose_[command.at("kind")] += command.value("count", 1);
  } else if (action == "mark") {
    marked_ = objects_;
    marked_revision_ = revision_;
  } else if (action == "reset") {
    objects_ = marked_;
    revision_ = marked_revision_;
  } else if (action == "instances") {
    CallAfter(io_, lag_, [this, listed = command.at("instances")] {
      instances_ = listed;
    });
  }
}

json platform_standin::Summary() const {
  json summary = calls_.Summary();
  summary["revision"] = revision_;
  for (const auto& each : objects_) {
    if (each.second.version == 0) continue;
    summary["objects"][each.first.first][each.first.second] = {
        {"version", each.second.version}, {"value", each.second.value}};
  }
  return summary;
}

void platform_standin::SetOutage(const json& command, outage_mode mode) {
  const std::string caller = command.value("caller", "");
  for (caller_listener& each : listeners_) {
    if (!caller.empty() && each.caller != caller) continue;
    // The end of an outage resets the open connections, as a restart would.
    if (each.outage != outage_mode::kNone || mode == outage_mode::kRefuse) {
      each.port->Close();
      watches_.remove_if(
          [&each](const pending_watch& watch) { return watch.from == &each; });
    }
    each.outage = mode;
    each.delay = milliseconds(command.value("delay_ms", 0));
    if (mode != outage_mode::kRefuse) each.port->Open();
  }
}

void platform_standin::Receive(caller_listener& from,
                               const http_request& request,
                               const http_port::responder& respond) {
  if (from.outage == outage_mode::kHang) return;
  if (from.outage != outage_mode::kSlow) return Handle(from, request, respond);
  CallAfter(io_, from.delay, [this, &from, request, respond] {
    Handle(from, request, respond);
  });
}

void platform_standin::Handle(caller_listener& from,
                              const http_request& request,
                              const http_port::responder& respond) {
  const auto target = Split(request.target, '?');
  const auto path = Split(target[0], '/');
  if (path.size() < 2) return respond(Reply(kStatusNotFound));
  call parsed{&request, path.size() > 2 ? path[2] : "",
              path.size() > 3 ? path[3] : "",
              QueryNumbers(target.size() > 1 ? target[1] : "")};
  const std::string operation =
      path[1] == "objects" ? (parsed.name.empty() ? "LIST" : request.method)
                           : path[1];
  calls_.Count(from.caller, operation + " " + parsed.kind,
               monotonic_clock::now());
  if (path[1] == "instances") {
    return respond(Reply(kStatusOk, {{"instances", instances_}}));
  }
  if (path[1] == "watch") return Watch(from, parsed, respond);
  if (operation == "LIST") {
    return respond(Reply(kStatusOk, List(parsed.kind, 0)));
  }
  if (operation == "GET") return respond(Get(parsed));
  if (operation != "PUT") return respond(Reply(kStatusBadRequest));
  http_response answer = Put(parsed);
  int& remaining_losses = answers_to_lose_[parsed.kind];
  if (answer.status != kStatusOk || remaining_losses == 0)
    return respond(answer);
  --remaining_losses;
  respond(std::nullopt);
}

http_response platform_standin::Get(const call& parsed) const {
  const auto found = objects_.find({parsed.kind, parsed.name});
  if (found == objects_.end() || found->second.version == 0) {
    return Reply(kStatusNotFound);
  }
  return Reply(kStatusOk, {{"kind", parsed.kind},
                           {"name", parsed.name},
                           {"version", found->second.version},
                           {"value", found->second.value}});
}

http_response platform_standin::Put(const call& parsed) {
  const std::string& body = parsed.request->body;
  if (body.size() > kMaxValueBytes) return Reply(kStatusTooLarge);
  json value = json::parse(body, nullptr, false);
  const auto expected = parsed.query_numbers.find("version");
  if (!value.is_object() || expected == parsed.query_numbers.end()) {
    return Reply(kStatusBadRequest);
  }
  object& stored = objects_[{parsed.kind, parsed.name}];
  if (stored.version != expected->second) {
    return Reply(kStatusConflict,
                 {{"version", stored.version}, {"value", stored.value}});
  }
  stored.value = std::move(value);
  stored.revision = ++revision_;
  ++stored.version;
  const std::uint64_t version = stored.version;
  NotifyWatches(parsed.kind);
  return Reply(kStatusOk, {{"version", version}});
}

void platform_standin::Watch(const caller_listener& from, const call& parsed,
                             const http_port::responder& respond) {
  const auto after = parsed.query_numbers.find("after");
  const auto wait = parsed.query_numbers.find("wait_ms");
  if (after == parsed.query_numbers.end() ||
      wait == parsed.query_numbers.end()) {
    return respond(Reply(kStatusBadRequest));
  }
  const bool forgotten = after->second + kRetainedRevisions < revision_;
  if (forgotten || after->second > revision_) {
    return respond(Reply(kStatusGone));
  }
  const json changed = List(parsed.kind, after->second);
  if (!changed.at("objects").empty()) {
    return respond(Reply(kStatusOk, changed));
  }
  const std::uint64_t id = ++last_watch_;
  watches_.push_back({id, &from, parsed.kind, after->second, respond});
  CallAfter(io_, milliseconds(wait->second), [this, id] { EndWatch(id); });
}

void platform_standin::EndWatch(std::uint64_t id) {
  for (auto each = watches_.begin(); each != watches_.end(); ++each) {
    if (each->id != id) continue;
    const pending_watch ended = *each;
    watches_.erase(each);
    if (ended.from->outage == outage_mode::kHang) return;
    return ended.respond(Reply(kStatusOk, List(ended.kind, ended.after)));
  }
}

void platform_standin::NotifyWatches(const std::string& kind) {
  std::vector<std::uint64_t> due;
  for (const pending_watch& each : watches_) {
    if (each.kind == kind) due.push_back(each.id);
  }
  for (const std::uint64_t id : due) EndWatch(id);
}

json platform_standin::List(const std::string& kind,
                            std::uint64_t after) const {
  json objects = json::array();
  for (const auto& each : objects_) {
    const object& stored = each.second;
    if (each.first.first != kind || stored.version == 0) continue;
    if (stored.revision <= after) continue;
    objects.push_back({{"kind", kind},
                       {"name", each.first.second},
                       {"version", stored.version},
                       {"value", stored.value}});
  }
  return {{"revision", revision_}, {"objects", std::move(objects)}};
}

}  // namespace papayaglade
