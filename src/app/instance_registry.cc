#include "app/instance_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "protocol/mirror_codec.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{1500};
constexpr milliseconds kRegisterRetryDelay{1000};
// Gives instances that start at the same time the time to register.
constexpr milliseconds kSecondCountDelay{300};
constexpr milliseconds kRecountDelay{1500};
constexpr std::size_t kStartupCounts = 3;
constexpr milliseconds kCountInterval{6000};
// Number of instances assumed at least until the startup counts are done.
constexpr std::size_t kMinStartupInstances = 8;
// Bounds the memory that the list takes.
constexpr std::size_t kMaxInstances = 10'000;
constexpr int kStatusOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kStatusConflict = 409;

}  // namespace

instance_registry::instance_registry(loop_context& loop,
                                     const store_format& format,
                                     structured_log& log, endpoint store,
                                     fleet_member self, count_handler on_count)
    : loop_(loop),
      format_(format),
      log_(log),
      store_(std::move(store)),
      self_(std::move(self)),
      on_count_(std::move(on_count)) {}

// Lists before registering: the list shows whether an earlier process of this
// name is still registered.
void instance_registry::Start() { Count(); }

void instance_registry::Leave() {
  leaving_ = true;
  Unregister();
}

void instance_registry::Unregister() {
  Call(format_.FormatDeleteRequest(stored_kind::kInstances, self_.name),
       [this](const http_exchange_channel::result& result) {
         if (result.failure.has_value()) {
           log_.Write(
               structured_log::kind::kEvent,
               log_line("instance_not_taken_out").With("why", result.why));
         }
         Register();
       });
}

void instance_registry::Register() {
  if (leaving_) return;
  Call(
      format_.FormatCreateRequest(stored_kind::kInstances, EncodeMember(self_)),
      [this](const http_exchange_channel::result& result) {
        const int status = static_cast<int>(result.message.result_int());
        const bool answered = !result.failure.has_value();
        if (answered && status == kStatusConflict && !replaced_old_entry_)
          return OnNameTaken();
        if (answered && (status < kFirstRedirect || status == kStatusConflict))
          return;
        log_.Write(structured_log::kind::kEvent,
                   log_line("instance_not_entered")
                       .With("status", status)
                       .With("why", result.why));
        loop_.ScheduleAfter(kRegisterRetryDelay,
                            [this](monotonic_time) { Register(); });
      });
}

// An earlier process of this name was killed and may have had another address,
// so its entry is replaced.
void instance_registry::OnNameTaken() {
  replaced_old_entry_ = true;
  Unregister();
}

void instance_registry::OnPeerMembers(
    const std::vector<fleet_member>& members) {
  if (completed_counts_ > 0) return;
  members_.clear();
  for (const fleet_member& each : members) members_[each.name] = each;
  ReportPosition(true);
}

void instance_registry::Count() {
  if (leaving_) return;
  Call(format_.FormatListRequest(stored_kind::kInstances, list_after_, true),
       [this](const http_exchange_channel::result& result) { OnList(result); });
}

void instance_registry::OnList(const http_exchange_channel::result& result) {
  if (!std::exchange(registration_started_, true)) Register();
  const bool answered =
      !result.failure.has_value() && result.message.result_int() == kStatusOk;
  const auto page = answered ? format_.DecodeList(stored_kind::kInstances,
                                                  result.message.body())
                             : std::optional<store_page>();
  if (!page.has_value()) {
    log_.Write(
        structured_log::kind::kEvent,
        log_line("instances_not_counted")
            .With("why", result.why)
            .With("kept",
                  static_cast<std::int64_t>(
                      last_position_.value_or(fleet_position()).instances)));
    loop_.ScheduleAfter(kRecountDelay, [this](monotonic_time) { Count(); });
    return;
  }
  for (const stored_object& each : page->objects) {
    members_[each.name] = DecodeMember(each);
  }
  const bool advanced =
      !page->last_name.empty() && page->last_name != list_after_;
  if (page->has_more && advanced && members_.size() < kMaxInstances) {
    list_after_ = page->last_name;
    return Count();
  }
  list_after_.clear();
  ++completed_counts_;
  ReportPosition(completed_counts_ < kStartupCounts);
  milliseconds wait = kCountInterval;
  if (completed_counts_ < kStartupCounts)
    wait = completed_counts_ == 1 ? kSecondCountDelay : kRecountDelay;
  loop_.ScheduleAfter(wait, [this](monotonic_time) { Count(); });
}

void instance_registry::ReportPosition(bool starting) {
  const auto place = members_.lower_bound(self_.name);
  const bool listed = place != members_.end() && place->first == self_.name;
  const std::size_t count = members_.size() + (listed ? 0 : 1);
  fleet_position fleet{
      std::max(count, starting ? kMinStartupInstances : std::size_t{1}),
      static_cast<std::size_t>(std::distance(members_.begin(), place)),
      {}};
  // The others of a data centre may not have registered yet.
  if (!starting) {
    for (const auto& each : members_)
      ++fleet.by_data_centre[each.second.data_centre];
    if (!listed) ++fleet.by_data_centre[self_.data_centre];
  }
  if (!last_position_.has_value() || !(fleet == *last_position_)) {
    log_.Write(structured_log::kind::kEvent,
               log_line("instances")
                   .With("count", static_cast<std::int64_t>(fleet.instances))
                   .With("index", static_cast<std::int64_t>(fleet.index)));
  }
  last_position_ = fleet;
  std::vector<fleet_member> members;
  members.reserve(members_.size());
  for (auto& each : std::exchange(members_, {})) {
    members.push_back(std::move(each.second));
  }
  on_count_(fleet, std::move(members));
}

void instance_registry::Call(
    std::string request,
    const std::function<void(const http_exchange_channel::result&)>& done) {
  const auto channel =
      std::make_shared<http_exchange_channel>(loop_, store_, kCallTimeout);
  const auto handled = std::make_shared<bool>(false);
  channel->Exchange(
      std::move(request), false,
      [channel, handled, done](const http_exchange_channel::result& result) {
        if (*handled) return;
        *handled = true;
        channel->Close();
        done(result);
      });
  loop_.ScheduleAfter(kCallTimeout, [channel, handled, done](monotonic_time) {
    if (*handled) return;
    *handled = true;
    channel->Close();
    http_exchange_channel::result late;
    late.failure = channel_failure::kBroken;
    late.why = "no answer";
    done(late);
  });
}

}  // namespace papayaglade
