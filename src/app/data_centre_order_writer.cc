#include "app/data_centre_order_writer.h"

#include "coordination/data_centre_orders.h"
#include "protocol/configuration_codec.h"

namespace papayaglade {

namespace {

constexpr char kKind[] = "order";
constexpr int kMaxTries = 10;
constexpr std::chrono::milliseconds kRetryDelay{200};

// The order in force and the version of its object.
struct stored_order {
  std::uint64_t version = 0;
  data_centre_order order;
};

stored_order ReadStoredOrder(const platform_reply& reply,
                             const std::string& data_centre) {
  stored_order stored;
  stored.order.data_centre = data_centre;
  if (reply.objects.empty()) return stored;
  stored.version = reply.objects.front().version;
  const auto parsed = ParseOrder(data_centre, reply.objects.front().value);
  if (parsed.has_value()) stored.order = *parsed;
  return stored;
}

bool IsAnswer(const platform_reply& reply) {
  return reply.status == platform_status::kOk ||
         reply.status == platform_status::kNotFound;
}

}  // namespace

data_centre_order_writer::data_centre_order_writer(blocking_platform& platform)
    : platform_(platform) {}

std::variant<data_centre_order, error> data_centre_order_writer::Write(
    const std::string& data_centre, bool out) {
  // Each attempt reads first, so that a write whose answer was lost is found in
  // force and is not repeated with another generation.
  for (int i = 0; i < kMaxTries; ++i) {
    const platform_reply current =
        platform_.Call(platform_get{kKind, data_centre});
    if (!IsAnswer(current)) {
      platform_.Pause(kRetryDelay);
      continue;
    }
    const stored_order stored = ReadStoredOrder(current, data_centre);
    if (stored.version > 0 && stored.order.out == out) return stored.order;
    const data_centre_order wanted{
        data_centre, NextOrderGeneration(stored.order.generation, out), out};
    const platform_reply written = platform_.Call(
        platform_put{kKind, data_centre, stored.version, FormatOrder(wanted)});
    if (written.status == platform_status::kOk) return wanted;
    if (written.status == platform_status::kConflict) {
      return error{error_kind::kConflict, "",
                   "another operator ordered data centre " + data_centre +
                       " at the same time",
                   "check `papayaglade status` and repeat the order if needed"};
    }
    platform_.Pause(kRetryDelay);
  }
  return error{error_kind::kUnavailable, "",
               "the platform does not answer; the order may be in force",
               "give the order through an instance with --operators-port"};
}

}  // namespace papayaglade
