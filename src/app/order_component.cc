#include "app/order_component.h"

#include <glog/logging.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "protocol/configuration_codec.h"

namespace papayaglade {

namespace {

using nlohmann::json;

// Number of members in each data centre that write orders to the platform which
// were spread without it.
constexpr std::size_t kKeepersPerDataCentre = 2;

const char* VerdictName(order_result::verdict value) {
  switch (value) {
    case order_result::verdict::kStored:
      return "stored";
    case order_result::verdict::kDistributed:
      return "spread without the platform";
    case order_result::verdict::kInForce:
      return "in force already";
    case order_result::verdict::kSuperseded:
      return "superseded";
  }
  return "";
}

json OrderToJson(const data_centre_order& order) {
  return {{"data_centre", order.data_centre},
          {"generation", order.generation},
          {"out", order.out}};
}

json ResultToJson(const order_result& result) {
  json out = OrderToJson(result.order);
  out["accepted"] = result.outcome != order_result::verdict::kSuperseded;
  out["result"] = VerdictName(result.outcome);
  if (result.outcome == order_result::verdict::kSuperseded) {
    out["remedy"] =
        "another operator was first; look at `papayaglade status` and order "
        "again if needed";
  }
  return out;
}

}  // namespace

order_component::order_component(control_context& context)
    : context_(context), orders_(context.Self().incarnation) {}

void order_component::OnTick(monotonic_time now) {
  UpdateKeeper();
  orders_.OnTick(now);
  PerformActions();
}

void order_component::OnObject(const versioned_object& object) {
  if (object.key.kind != object_kind::kOrder) return;
  for (const data_centre_order& each : context_.View().orders) {
    if (each.data_centre != object.key.name) continue;
    LOG(INFO) << "event=data_centre_order data_centre=" << each.data_centre
              << " out=" << each.out << " generation=" << each.generation;
    orders_.OnOrder(each, context_.Now());
  }
  PerformActions();
}

bool order_component::OnOrder(const order_event& event) {
  const std::string& data_centre = event.order.data_centre;
  if (!IsKnown(data_centre)) {
    event.reply(json({{"accepted", false},
                      {"error", "no data centre " + data_centre},
                      {"remedy", "name one of the configuration in force"}})
                    .dump());
    return true;
  }
  replies_[++last_ticket_] = event.reply;
  orders_.Submit(last_ticket_, data_centre, event.order.out, context_.Now());
  PerformActions();
  return true;
}

bool order_component::IsKnown(const std::string& data_centre) const {
  const cluster_view& view = context_.View();
  for (const roster& each : view.rosters) {
    if (each.data_centre == data_centre) return true;
  }
  if (view.config == nullptr) return false;
  for (const service_definition& service : view.config->services) {
    for (const upstream_definition& upstream : service.upstreams) {
      if (upstream.data_centre == data_centre) return true;
    }
  }
  return false;
}

void order_component::UpdateKeeper() {
  for (const roster& each : context_.View().rosters) {
    if (each.data_centre != context_.Settings().data_centre) continue;
    const std::size_t count =
        std::min(kKeepersPerDataCentre, each.members.size());
    orders_.SetStoresOrders(
        std::any_of(each.members.begin(),
                    each.members.begin() + static_cast<std::ptrdiff_t>(count),
                    [this](const roster_member& member) {
                      return member.identity == context_.Self();
                    }));
  }
}

void order_component::PerformActions() {
  for (const order_action& action : orders_.TakeActions()) {
    std::visit([this](const auto& each) { Perform(each); }, action);
  }
}

void order_component::Perform(const read_order& action) {
  context_.CallPlatform(
      platform_get{ObjectKindName(object_kind::kOrder), action.data_centre},
      [this, name = action.data_centre](const platform_reply& reply) {
        orders_.OnRead(name, ToOrderAnswer(reply, name), context_.Now());
        PerformActions();
      });
}

void order_component::Perform(const write_order& action) {
  context_.CallPlatform(
      platform_put{ObjectKindName(object_kind::kOrder),
                   action.order.data_centre, action.expected_version,
                   FormatOrder(action.order)},
      [this, order = action.order](const platform_reply& reply) {
        order_answer answer = ToOrderAnswer(reply, order.data_centre);
        if (answer.status == platform_status::kOk) answer.stored = order;
        orders_.OnWritten(order.data_centre, answer, context_.Now());
        PerformActions();
      });
}

void order_component::Perform(const distribute_order& action) {
  context_.Offer({{object_kind::kOrder, action.order.data_centre},
                  action.order.generation,
                  FormatOrder(action.order)});
}

void order_component::Perform(const order_result& action) {
  const auto reply = replies_.find(action.ticket);
  if (reply == replies_.end()) return;
  reply->second(ResultToJson(action).dump());
  replies_.erase(reply);
}

order_answer order_component::ToOrderAnswer(const platform_reply& reply,
                                            const std::string& data_centre) {
  order_answer answer;
  answer.status = reply.status;
  if (reply.objects.empty()) return answer;
  answer.version = reply.objects.front().version;
  answer.stored = ParseOrder(data_centre, reply.objects.front().value);
  return answer;
}

void order_component::Describe(json& status) const {
  json overruled = json::array();
  for (const data_centre_order& each : orders_.Overruled()) {
    overruled.push_back(OrderToJson(each));
  }
  status["overruled_orders"] = std::move(overruled);
}

}  // namespace papayaglade
