#include "store_standin.h"

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>

namespace papayaglade {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using tcp = boost::asio::ip::tcp;

constexpr milliseconds kCheckInterval{5};
constexpr std::chrono::seconds kRunTimeout{10};
constexpr std::size_t kMaxConnections = 100;

std::int64_t QueryNumber(const std::string& target, const std::string& key) {
  const auto at = target.find(key + "=");
  if (at == std::string::npos) return -1;
  return std::stoll(target.substr(at + key.size() + 1));
}

std::string ParseKind(const std::string& target) {
  const std::string prefix = "/objects/";
  const auto end = target.find_first_of("/?", prefix.size());
  return target.substr(prefix.size(), end - prefix.size());
}

}  // namespace

endpoint FindFreeEndpoint() {
  boost::asio::io_context io;
  const tcp::acceptor probe(
      io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  return {"127.0.0.1", probe.local_endpoint().port()};
}

bool RunUntil(loop_context& loop, const std::function<bool()>& done) {
  const monotonic_time end = loop_context::Now() + kRunTimeout;
  const auto check = std::make_shared<std::function<void(monotonic_time)>>();
  *check = [&loop, &done, end, check](monotonic_time now) {
    if (done() || now > end) return loop.Stop();
    loop.ScheduleAfter(kCheckInterval, *check);
  };
  loop.ScheduleAfter(milliseconds(0), *check);
  loop.Io().restart();
  loop.Run();
  *check = nullptr;
  return done();
}

store_standin::store_standin(loop_context& loop)
    : loop_(loop),
      address_(FindFreeEndpoint()),
      port_(loop, *this, kMaxConnections) {
  const std::string failed = port_.Listen(address_);
  if (!failed.empty()) throw std::runtime_error(failed);
}

void store_standin::Put(const std::string& kind, const std::string& name,
                        json content) {
  objects_[{kind, name}] = std::move(content);
  AddEvent(kind, name, false);
}

void store_standin::PutText(const std::string& kind, const std::string& name,
                            std::string text) {
  const std::string mark = "@text-" + std::to_string(texts_.size()) + "@";
  texts_["\"" + mark + "\""] = std::move(text);
  Put(kind, name, mark);
}

std::string store_standin::Answer(int status, const std::string& body) const {
  std::string head = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
  if (era_ != kNoEra) head += "Store-Era: " + std::to_string(era_) + "\r\n";
  return head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string store_standin::Format(const json& body) const {
  std::string text = body.dump();
  for (const auto& each : texts_) {
    for (auto at = text.find(each.first); at != std::string::npos;
         at = text.find(each.first, at + each.second.size())) {
      text.replace(at, each.first.size(), each.second);
    }
  }
  return text;
}

void store_standin::Delete(const std::string& kind, const std::string& name) {
  AddEvent(kind, name, true);
  objects_.erase({kind, name});
}

void store_standin::AddEvent(const std::string& kind, const std::string& name,
                             bool deleted) {
  const json object = {{"meta", {{"name", name}}},
                       {"spec", objects_[{kind, name}]}};
  events_.push_back(
      {++revision_, kind, {{"deleted", deleted}, {"object", object}}});
  watches_.remove_if(
      [this](const watch& each) { return AnswerWatch(each, false); });
}

void store_standin::SetDown(bool down) {
  down_ = down;
  if (!down) return;
  for (const char* kind : {"config", "servers", "evacuations"}) {
    RefuseWaitingWatches(kind);
  }
}

void store_standin::RefuseWaitingWatches(const std::string& kind) {
  watches_.remove_if([&](const watch& each) {
    if (each.kind == kind) each.connection->Respond(Answer(503, ""), false);
    return each.kind == kind;
  });
}

store_standin::copy store_standin::Copy() const {
  return {revision_, objects_, events_};
}

void store_standin::Restore(const copy& from) {
  for (const char* kind : {"config", "servers", "evacuations"})
    RefuseWaitingWatches(kind);
  ++era_;
  revision_ = from.revision;
  objects_ = from.objects;
  events_ = from.events;
}

std::size_t store_standin::ListCount(const std::string& kind) const {
  const auto found = lists_.find(kind);
  return found == lists_.end() ? 0 : found->second;
}

std::size_t store_standin::WaitingWatchCount(const std::string& kind) const {
  return static_cast<std::size_t>(
      std::count_if(watches_.begin(), watches_.end(),
                    [&](const watch& each) { return each.kind == kind; }));
}

void store_standin::OnRequest(const std::shared_ptr<caller_connection>& from,
                              caller_message message) {
  const std::string target(message.target());
  const std::string kind = ParseKind(target);
  if (down_) return from->Respond(Answer(503, ""), false);
  if (message.method() == boost::beast::http::verb::post) {
    const json body = json::parse(message.body());
    const std::string name = body["meta"]["name"];
    if (Has(kind, name)) return from->Respond(Answer(409, "{}"), false);
    creation_times_.push_back(loop_context::Now());
    Put(kind, name, body["spec"]);
    return from->Respond(Answer(200, "{}"), false);
  }
  if (message.method() == boost::beast::http::verb::delete_) {
    Delete(kind, target.substr(target.rfind('/') + 1));
    return from->Respond(Answer(200, "{}"), false);
  }
  const std::int64_t since = QueryNumber(target, "watch");
  const bool first_page = target.find("after=&") != std::string::npos ||
                          target.substr(target.size() - 6) == "after=";
  using part = read_call::part;
  const part asked = since >= 0   ? part::kWatch
                     : first_page ? part::kFirstPage
                                  : part::kLaterPage;
  reads_.push_back({kind, asked, since, loop_context::Now()});
  if (since < 0) return List(from, reads_.back());
  if (since > revision_) return from->Respond(Answer(410, "{}"), false);
  const watch added{++last_watch_, kind, since, from};
  if (AnswerWatch(added, early_answers_)) return;
  watches_.push_back(added);
  loop_.ScheduleAfter(milliseconds(QueryNumber(target, "wait_ms")),
                      [this, number = added.number](monotonic_time) {
                        watches_.remove_if([this, number](const watch& each) {
                          return each.number == number &&
                                 AnswerWatch(each, true);
                        });
                      });
}

void store_standin::OnMalformed(const std::shared_ptr<caller_connection>& from,
                                bool /*too_large*/) {
  from->Respond(Answer(400, ""), true);
}

void store_standin::Respond(const std::shared_ptr<caller_connection>& to,
                            const read_call& call, const json& body) {
  std::string answer = Answer(200, Format(body));
  if (edit_) answer = edit_(call, answer);
  to->Respond(std::move(answer), false);
}

void store_standin::List(const std::shared_ptr<caller_connection>& to,
                         const read_call& call) {
  const std::string kind = call.kind;
  const bool first_page = call.asked == read_call::part::kFirstPage;
  ++lists_[kind];
  json items = json::array();
  for (const auto& each : objects_) {
    if (each.first.first != kind) continue;
    if (later_pages_ == later_pages::kEmpty && !first_page) continue;
    items.push_back(
        {{"meta", {{"name", each.first.second}}}, {"spec", each.second}});
  }
  const json body = {{"items", items},
                     {"has_more", later_pages_ != later_pages::kNone},
                     {"at", revision_}};
  Respond(to, call, body);
  if (on_list_) on_list_(kind);
}

bool store_standin::AnswerWatch(const watch& watch, bool answer_if_empty) {
  json events = json::array();
  for (const event& each : events_) {
    if (each.kind == watch.kind && each.revision > watch.from) {
      events.push_back(each.body);
    }
  }
  if (events.empty() && !answer_if_empty) return false;
  if (!events.empty() && watch.kind == losing_kind_) {
    losing_kind_.clear();
    lost_answer_ = true;
    return true;
  }
  const json body = {{"events", events}, {"at", revision_}};
  Respond(watch.connection,
          {watch.kind, read_call::part::kWatch, watch.from, {}}, body);
  return true;
}

}  // namespace papayaglade
