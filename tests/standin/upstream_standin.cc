#include "upstream_standin.h"

#include <utility>
#include <vector>

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr std::size_t kMaxRememberedAttempts = 1'000'000;
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusGone = 410;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusEnded = 504;
constexpr milliseconds kOverloadDowntime{300};
// Answers that show a new incarnation take some time to reach the sender.
// Until then, requests over the limit are refused and do not cause a crash.
constexpr milliseconds kNoticeDelay{50};
constexpr int kHitsPerShard = 2;

http_response Reply(int status, const json& body) {
  return {status, "application/json", body.dump()};
}

}  // namespace

upstream_standin::upstream_standin(boost::asio::io_context& io,
                                   upstream_profile profile)
    : io_(io),
      profile_(std::move(profile)),
      port_(io, profile_.port,
            [this](const http_request& request,
                   const http_port::responder& respond) {
              Handle(request, respond);
            }),
      restart_timer_(io),
      random_(profile_.seed) {
  port_.SetConnectionLimit(profile_.connections);
  SetPhase(phase::kWarm);
  if (profile_.starts_cold) {
    GoCold();
    cold_visible_since_ = cold_since_;
  }
}

bool upstream_standin::Open() { return port_.Open(); }

void upstream_standin::Command(const json& command) {
  const std::string action = command.at("do");
  if (action == "set") {
    profile_.Apply(command);
    port_.SetConnectionLimit(profile_.connections);
  } else if (action == "go_cold" && command.value("in_place", false)) {
    GoCold();
  } else if (action == "go_cold") {
    Restart(milliseconds(command.value("down_ms", 100)));
  } else if (action == "leave") {
    refuses_when_leaving_ = command.value("refusing", false);
    SetPhase(phase::kLeaving);
    log_.Record("leaving", "");
  } else if (action == "return" || action == "up") {
    Restart(milliseconds(0));
  } else if (action == "down") {
    Restart(std::chrono::hours(1));
  } else if (action == "silence") {
    port_.SilenceOpenConnections(milliseconds(command.value("hold_ms", 5000)));
    log_.Record("silenced", "");
  } else if (action == "lose") {
    answers_to_lose_ += command.value("count", 1);
  }
}

json upstream_standin::Summary() const {
  json summary = log_.Summary();
  summary["state"] = PhaseName(phase_);
  summary["incarnation"] = incarnation_;
  summary["in_flight"] = running_.size();
  summary["connections"] = port_.ConnectionCount();
  summary["most_connections"] = port_.PeakConnections();
  summary["refused_connections"] = port_.RefusedConnections();
  return summary;
}

void upstream_standin::Handle(const http_request& request,
                              const http_port::responder& respond) {
  if (request.target == "/health") return respond(MakeHealthReply());
  json body = json::parse(request.body, nullptr, false);
  if (!body.is_object()) return respond(Reply(kStatusBadRequest, {}));
  if (request.target == "/cancel") return respond(Cancel(body));
  const bool is_run = request.target == "/run";
  const bool known = is_run || request.target == "/search";
  if (!known) return respond(Reply(kStatusBadRequest, {}));
  HandleWork(std::move(body), is_run, respond);
}

void upstream_standin::HandleWork(json body, bool is_run,
                                  const http_port::responder& respond) {
  const monotonic_time now = monotonic_clock::now();
  log_.RecordArrival(now);
  WarmUpIfDue();
  const std::string refusal = RefusalReason(now);
  if (refusal == "overload") {
    log_.Record("overload", body.dump());
    return Restart(kOverloadDowntime);
  }
  if (!refusal.empty()) {
    log_.Count("refused_" + refusal);
    if (refusal == "cold" && !cold_visible_since_) cold_visible_since_ = now;
    return respond(Reply(kStatusUnavailable, {{"refused", refusal}}));
  }
  const bool has_snapshot =
      is_run || profile_.snapshots.empty() || profile_.other_snapshot ||
      profile_.snapshots.count(body.value("snapshot", std::uint64_t{0})) > 0;
  if (!has_snapshot) {
    log_.Count("snapshot_gone");
    return respond(Reply(kStatusGone, {{"snapshots", profile_.snapshots}}));
  }
  StartRequest(std::move(body), is_run, respond);
}

std::string upstream_standin::RefusalReason(monotonic_time now) {
  if (phase_ == phase::kLeaving && refuses_when_leaving_) return "leaving";
  const int in_flight = InFlight();
  if (phase_ != phase::kCold) {
    return in_flight >= profile_.slots ? "shed" : "";
  }
  if (in_flight < profile_.cold_slots) return "";
  const bool noticed =
      cold_visible_since_ && now >= *cold_visible_since_ + kNoticeDelay;
  return noticed ? "overload" : "cold";
}

void upstream_standin::StartRequest(json body, bool is_run,
                                    const http_port::responder& respond) {
  const auto attempt = body.value("attempt", std::string());
  if (received_attempts_.size() >= kMaxRememberedAttempts)
    received_attempts_.clear();
  received_attempts_.insert(attempt);
  if (is_run) log_.RecordRun(body.value("query", std::string()));
  const microseconds service_time = ServiceTime();
  const microseconds left(body.value("deadline_us", std::int64_t{0}));
  running_request& started = running_[attempt];
  started.incarnation = incarnation_;
  started.is_run = is_run;
  started.meets_deadline = left.count() <= 0 || service_time <= left;
  started.respond = respond;
  started.end = std::make_unique<boost::asio::steady_timer>(
      io_, started.meets_deadline ? service_time : left);
  if (profile_.logs) {
    log_.RecordStart(body.value("request_id", std::string()) + "|" +
                         body.value("shard", std::string()),
                     InFlight(), phase_ == phase::kCold);
  }
  started.body = std::move(body);
  started.end->async_wait(
      [this, attempt](const boost::system::error_code& failed) {
        if (!failed) EndRequest(attempt);
      });
}

void upstream_standin::EndRequest(const std::string& attempt) {
  const auto found = running_.find(attempt);
  if (found == running_.end()) return;
  const running_request ended = std::move(found->second);
  running_.erase(found);
  if (ended.meets_deadline) return Serve(ended);
  log_.Count("expired");
  ended.respond(Reply(kStatusEnded, {{"ended", "deadline"}}));
}

void upstream_standin::Serve(const running_request& ended) {
  log_.Count("served");
  if (phase_ == phase::kCold) {
    ++served_since_cold_;
    if (!cold_visible_since_) cold_visible_since_ = monotonic_clock::now();
  }
  if (answers_to_lose_ > 0) {
    --answers_to_lose_;
    log_.Record("answer_lost", ended.body.dump());
    return ended.respond(std::nullopt);
  }
  ended.respond(MakeHits(ended.body, ended.is_run));
}

http_response upstream_standin::Cancel(const json& body) {
  json ended = json::array();
  for (const json& each : body.value("attempts", json::array())) {
    const auto name = each.get<std::string>();
    // An attempt that has not arrived yet may still start.
    if (received_attempts_.count(name) == 0) continue;
    ended.push_back(each);
    const auto found = running_.find(name);
    if (found == running_.end()) continue;
    log_.Count("cancelled");
    const http_port::responder respond = found->second.respond;
    running_.erase(found);
    respond(Reply(kStatusEnded, {{"ended", "cancelled"}}));
  }
  return Reply(kStatusOk, {{"ended", ended}});
}

http_response upstream_standin::MakeHealthReply() {
  log_.Count("health");
  WarmUpIfDue();
  const monotonic_time reported_time =
      monotonic_clock::now() - profile_.health_lag;
  while (history_.size() > 1 && history_[1].since <= reported_time) {
    history_.pop_front();
  }
  const phase reported_phase =
      profile_.health_lies ? phase::kWarm : history_[0].entered;
  if (reported_phase == phase::kCold && !cold_visible_since_) {
    cold_visible_since_ = monotonic_clock::now();
  }
  return Reply(kStatusOk, {{"state", PhaseName(reported_phase)},
                           {"incarnation", std::to_string(incarnation_)},
                           {"in_flight", profile_.health_lies ? 0 : InFlight()},
                           {"slots", profile_.slots},
                           {"snapshots", profile_.snapshots}});
}

http_response upstream_standin::MakeHits(const json& body, bool is_run) const {
  const auto query = body.value("query", std::string());
  const auto shard =
      is_run ? std::string("run") : body.value("shard", std::string());
  const std::uint64_t asked = body.value("snapshot", std::uint64_t{0});
  const std::uint64_t snapshot =
      profile_.other_snapshot ? NewestSnapshot() : asked;
  const std::string text = query + " from " + profile_.name + " shard " +
                           shard + " snapshot " + std::to_string(snapshot);
  json hits = json::array();
  for (int i = 0; i < (is_run ? 1 : kHitsPerShard); ++i) {
    const std::string key = shard + "/" + std::to_string(i);
    const double score =
        1.0 + static_cast<double>(std::hash<std::string>{}(key) % 1000) / 1000;
    hits.push_back({key, score, text});
  }
  // Every shard returns this document, and a merge keeps it once.
  if (!is_run) hits.push_back({"everywhere", 1.0, text});
  return Reply(kStatusOk, {{"snapshot", snapshot},
                           {"incarnation", std::to_string(incarnation_)},
                           {"hits", hits}});
}

void upstream_standin::Restart(milliseconds down) {
  running_.clear();
  received_attempts_.clear();
  SetPhase(phase::kDown);
  port_.Close();
  restart_timer_.expires_after(down);
  restart_timer_.async_wait([this](const boost::system::error_code& failed) {
    if (failed) return;
    GoCold();
    cold_visible_since_ = cold_since_;
    port_.Open();
  });
}

void upstream_standin::GoCold() {
  ++incarnation_;
  served_since_cold_ = 0;
  cold_since_ = monotonic_clock::now();
  cold_visible_since_.reset();
  SetPhase(phase::kCold);
  log_.Record("cold", std::to_string(incarnation_));
}

void upstream_standin::SetPhase(phase next) {
  phase_ = next;
  history_.push_back({monotonic_clock::now(), next});
}

void upstream_standin::WarmUpIfDue() {
  if (phase_ != phase::kCold) return;
  const auto cold_for = monotonic_clock::now() - cold_since_;
  if (served_since_cold_ < profile_.warm_after_served &&
      cold_for < profile_.warm_after_time) {
    return;
  }
  SetPhase(phase::kWarm);
  log_.Record("warm", std::to_string(incarnation_));
}

// Excludes requests that started before the upstream went cold, because the
// sender could not know.
int upstream_standin::InFlight() const {
  int count = 0;
  for (const auto& each : running_) {
    if (each.second.incarnation == incarnation_) ++count;
  }
  return count;
}

microseconds upstream_standin::ServiceTime() {
  const std::int64_t jitter = profile_.jitter.count();
  std::uniform_int_distribution<std::int64_t> jitter_distribution(-jitter,
                                                                  jitter);
  const microseconds base_time =
      profile_.service_time + microseconds(jitter_distribution(random_));
  const bool is_straggler =
      profile_.straggler_one_in > 0 &&
      random_() % static_cast<std::uint64_t>(profile_.straggler_one_in) == 0;
  double factor = is_straggler ? profile_.straggler_times : 1;
  if (phase_ == phase::kCold) factor *= profile_.cold_times;
  return std::chrono::duration_cast<microseconds>(base_time * factor);
}

std::uint64_t upstream_standin::NewestSnapshot() const {
  return profile_.snapshots.empty() ? 0 : *profile_.snapshots.rbegin();
}

const char* upstream_standin::PhaseName(phase value) {
  switch (value) {
    case phase::kWarm:
      return "warm";
    case phase::kCold:
      return "cold";
    case phase::kLeaving:
      return "leaving";
    case phase::kDown:
      return "down";
  }
  return "";
}

}  // namespace papayaglade
