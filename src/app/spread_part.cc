#include "app/spread_part.h"

#include "app/view_builder.h"

namespace papayaglade {

spread_part::spread_part(control_context& context) : context_(context) {}

void spread_part::OnTick(monotonic_time /*now*/) {
  if (waiting_ > 0) return;
  for (const object_kind kind :
       {object_kind::kConfiguration, object_kind::kSnapshots,
        object_kind::kRoster, object_kind::kOrder}) {
    ++waiting_;
    context_.CallPlatform(
        platform_list{ObjectKindName(kind)},
        [this](const platform_reply& reply) { OnList(reply); });
  }
}

void spread_part::OnList(const platform_reply& reply) {
  --waiting_;
  for (const platform_object& stored : reply.objects) {
    const auto object = ReadSharedObject(stored);
    if (object.has_value()) context_.Offer(*object);
  }
}

}  // namespace papayaglade
