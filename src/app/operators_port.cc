#include "app/operators_port.h"

#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <utility>

#include "protocol/caller_codec.h"
#include "protocol/json_reader.h"

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr int kStatusOk = 200;
constexpr int kStatusNotFound = 404;
constexpr int kStatusOverloaded = 503;
constexpr char kExplainPrefix[] = "/explain?id=";
constexpr std::size_t kMaxNameLength = 128;

http_response JsonResponse(int status, const json& body) {
  return {status, "application/json", body.dump() + "\n"};
}

http_response Overloaded() {
  return JsonResponse(
      kStatusOverloaded,
      ErrorToJson({error_kind::kOverloaded, "",
                   "a duty of this instance is too busy", "ask again"}));
}

// Collects the JSON status of each worker and sends the answer when all are
// complete. Thread-safe.
class status_collector {
 public:
  status_collector(std::size_t parts, json whole,
                   http_server::responder respond)
      : pending_parts_(parts),
        status_(std::move(whole)),
        respond_(std::move(respond)) {}

  void Add(const std::string& part, const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    status_[part] = json::parse(text, nullptr, false);
    if (status_[part].is_discarded()) status_[part] = nullptr;
    if (--pending_parts_ == 0) respond_(JsonResponse(kStatusOk, status_));
  }

 private:
  std::mutex mutex_;
  std::size_t pending_parts_;
  json status_;
  http_server::responder respond_;
};

// Requests the status of one worker. If its ring is full, the status is null.
template <typename Ring>
void RequestStatus(Ring& ring, const std::string& part,
                   const std::shared_ptr<status_collector>& collector) {
  const status_query query{[collector, part](const std::string& text) {
    collector->Add(part, text);
  }};
  if (!ring.TryPush(query)) collector->Add(part, "null");
}

void WriteCounter(std::ostream& out, const char* name, const char* help,
                  std::uint64_t value) {
  out << "# HELP " << name << " " << help << "\n# TYPE " << name << " counter\n"
      << name << " " << value << "\n";
}

}  // namespace

operators_port::operators_port(const instance_settings& settings,
                               const instance_identity& self,
                               router_ring& router, steward_ring& stewards,
                               control_ring& control, const peer_links& peers,
                               const readiness& ready,
                               const metrics_registry& metrics)
    : settings_(settings),
      self_(self),
      router_(router),
      stewards_(stewards),
      control_(control),
      peers_(peers),
      ready_(ready),
      metrics_(metrics),
      server_("operators", settings.limits,
              [this](const http_request& request, const responder& respond) {
                Handle(request, respond);
              }) {}

std::string operators_port::Start() {
  std::string failed = server_.Listen(settings_.operators);
  if (failed.empty()) server_.Start();
  return failed;
}

void operators_port::Stop() { server_.Stop(); }

void operators_port::Handle(const http_request& request,
                            const responder& respond) {
  const std::string& target = request.target;
  if (request.method == "GET" && target == "/status") {
    return AnswerStatus(respond);
  }
  if (request.method == "GET" && target == "/configuration") {
    return AnswerConfiguration(respond);
  }
  if (request.method == "GET" && target == "/metrics") {
    return respond({kStatusOk, "text/plain; version=0.0.4", FormatMetrics()});
  }
  if (request.method == "GET" && target.rfind(kExplainPrefix, 0) == 0) {
    return AnswerExplain(
        UnescapeTarget(target.substr(sizeof kExplainPrefix - 1)), respond);
  }
  if (request.method == "POST" && target == "/order") {
    return AnswerOrder(request.body, respond);
  }
  respond(JsonResponse(
      kStatusNotFound,
      ErrorToJson({error_kind::kInvalidInput, "target", "no such call",
                   "use GET /status, /configuration, /metrics, "
                   "/explain?id=ID or POST /order"})));
}

void operators_port::AnswerStatus(const responder& respond) {
  constexpr std::size_t kParts = 3;
  const std::string reason = ready_.ReasonNotReady();
  const auto collector = std::make_shared<status_collector>(
      kParts,
      json{{"instance", self_.name},
           {"incarnation", self_.incarnation},
           {"data_centre", settings_.data_centre},
           {"ready", reason.empty()},
           {"not_ready_reason", reason}},
      respond);
  RequestStatus(control_, "control", collector);
  RequestStatus(router_, "router", collector);
  RequestStatus(stewards_, "stewards", collector);
}

void operators_port::AnswerConfiguration(const responder& respond) {
  const double version =
      metrics_.Gauge(gauge_metric::kConfiguration, "version");
  respond(JsonResponse(kStatusOk,
                       {{"instance", self_.name},
                        {"version", static_cast<std::uint64_t>(version)}}));
}

void operators_port::AnswerExplain(const std::string& request_id,
                                   const responder& respond) {
  const explain_query query{
      request_id, [respond, request_id](const std::string& text) {
        if (!text.empty()) {
          return respond({kStatusOk, "application/json", text + "\n"});
        }
        respond(JsonResponse(
            kStatusNotFound,
            ErrorToJson({error_kind::kUnknownName, "id",
                         "this instance does not remember " + request_id,
                         "ask the instance that answered it, soon after"})));
      }};
  if (!router_.TryPush(query)) respond(Overloaded());
}

void operators_port::AnswerOrder(const std::string& body,
                                 const responder& respond) {
  fault_list faults;
  const json document = ParseJson(body, faults);
  data_centre_order order;
  if (faults.empty()) {
    json_reader reader(document, "", faults);
    order.data_centre = reader.RequiredString("data_centre");
    order.out = reader.OptionalBool("out", false);
    order.generation = static_cast<std::uint64_t>(
        reader.OptionalInteger("generation", 0, 0, INT64_MAX));
    if (order.data_centre.size() > kMaxNameLength) {
      reader.AddFault("data_centre", "too long", "use at most 128 bytes");
    }
    if (!reader.Has("out")) {
      reader.AddFault("out", "missing", "add true for out or false for in");
    }
    reader.RejectUnknownMembers();
  }
  if (!faults.empty()) {
    const fault& first = faults.front();
    return respond(FormatCallerError({error_kind::kInvalidInput, first.pointer,
                                      first.message, first.remedy}));
  }
  const order_event event{
      order, [respond](const std::string& text) {
        respond({kStatusOk, "application/json", text + "\n"});
      }};
  if (!control_.TryPush(event)) respond(Overloaded());
}

std::string operators_port::FormatMetrics() const {
  std::ostringstream out;
  out << metrics_.Format();
  const peer_traffic traffic = peers_.Traffic();
  WriteCounter(out, "papayaglade_control_messages_sent_total",
               "Control messages sent to peers.",
               traffic.control_messages_sent);
  WriteCounter(out, "papayaglade_control_bytes_sent_total",
               "Bytes of control messages sent to peers.",
               traffic.control_bytes_sent);
  WriteCounter(out, "papayaglade_control_bytes_received_total",
               "Bytes of control messages received from peers.",
               traffic.control_bytes_received);
  WriteCounter(out, "papayaglade_query_bytes_sent_total",
               "Bytes of queries and results sent to peers.",
               traffic.query_bytes_sent);
  WriteCounter(out, "papayaglade_query_bytes_received_total",
               "Bytes of queries and results received from peers.",
               traffic.query_bytes_received);
  return out.str();
}

}  // namespace papayaglade
