#include "app/instance_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "app/answer_era.h"
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
// Between the entries of two instances, so that those of a large installation
// stay below the rate of the store.
constexpr milliseconds kReentryInterval{5};
constexpr milliseconds kMinReentrySpread{300};
constexpr milliseconds kMaxReentrySpread{5000};
constexpr std::size_t kQuickCountsAfterRestore = 3;
// Instances that have no connection to the store notice its return late.
constexpr std::chrono::seconds kRetainTime{30};
// The list may be out of date by some seconds.
constexpr std::chrono::seconds kMaxListAge{5};
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
                                     structured_log& log, store_era& era,
                                     endpoint store, fleet_member self,
                                     count_handler on_count)
    : loop_(loop),
      format_(format),
      log_(log),
      era_(era),
      store_(std::move(store)),
      self_(std::move(self)),
      on_count_(std::move(on_count)),
      random_(std::random_device{}()) {
  era_.Subscribe(
      [this](std::int64_t before, std::int64_t /*now*/) { OnNewEra(before); });
}

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
  if (leaving_ || registering_) return;
  if (register_timer_.has_value()) loop_.Cancel(*register_timer_);
  register_timer_.reset();
  registering_ = true;
  Call(
      format_.FormatCreateRequest(stored_kind::kInstances, EncodeMember(self_)),
      [this](const http_exchange_channel::result& result) {
        registering_ = false;
        OnRegistered(result);
      });
}

void instance_registry::OnRegistered(
    const http_exchange_channel::result& result) {
  const int status = static_cast<int>(result.message.result_int());
  const bool answered = !result.failure.has_value();
  // Whose entry it is shows when the instances are counted.
  if (answered && status == kStatusConflict && restored_at_.has_value()) return;
  if (answered && status == kStatusConflict && !replaced_old_entry_)
    return OnNameTaken();
  if (answered && status < kFirstRedirect) {
    if (entered_once_) LogReentry();
    entered_once_ = true;
    entered_at_ = loop_context::Now();
    return;
  }
  if (answered && status == kStatusConflict) return;
  log_.Write(structured_log::kind::kEvent, log_line("instance_not_entered")
                                               .With("status", status)
                                               .With("why", result.why));
  ScheduleRegister(kRegisterRetryDelay);
}

void instance_registry::ScheduleRegister(milliseconds delay) {
  if (register_timer_.has_value()) loop_.Cancel(*register_timer_);
  register_timer_ = loop_.ScheduleAfter(delay, [this](monotonic_time) {
    register_timer_.reset();
    Register();
  });
}

void instance_registry::LogReentry() {
  ++reentries_;
  log_line line("instance_entered_again");
  line.With("era", era_.Known());
  const auto age = AgeOf(restored_at_, loop_context::Now());
  if (age.has_value()) line.With("ms", age->count());
  log_.Write(structured_log::kind::kEvent, line);
}

// Entries are written without being read first: one that is there already is
// not changed by that, and a call less is made.
void instance_registry::OnNewEra(std::int64_t before) {
  if (before == kNoEra) return;
  Retain(listed_);
  entered_at_.reset();
  replaced_old_entry_ = false;
  quick_counts_ = kQuickCountsAfterRestore;
  if (!registration_started_) return;
  if (leaving_) return Unregister();
  restored_at_ = loop_context::Now();
  const milliseconds spread = ReentrySpread();
  ScheduleRegister(milliseconds(random_() % spread.count()));
  if (count_timer_.has_value()) ScheduleCount(spread + kSecondCountDelay);
}

milliseconds instance_registry::ReentrySpread() const {
  const auto instances = static_cast<std::int64_t>(listed_.size());
  return std::clamp(kReentryInterval * instances, kMinReentrySpread,
                    kMaxReentrySpread);
}

void instance_registry::Retain(const members_by_name& members) {
  const monotonic_time now = loop_context::Now();
  if (now >= retained_until_) retained_.clear();
  for (const auto& each : members)
    retained_.insert_or_assign(each.first, each.second);
  retained_until_ = now + kRetainTime;
}

void instance_registry::CheckOwnEntry() {
  if (!registration_started_ || registering_ || register_timer_.has_value())
    return;
  const monotonic_time now = loop_context::Now();
  if (entered_at_.has_value() && now - *entered_at_ < kMaxListAge) return;
  const auto own = listed_.find(self_.name);
  if (own == listed_.end()) return Register();
  if (!restored_at_.has_value()) return;
  restored_at_.reset();
  if (IsOtherEntry(own->second)) OnNameTaken();
}

// The store may have been restored to a state with the entry of the process
// before this one.
bool instance_registry::IsOtherEntry(const fleet_member& listed) const {
  const auto before = retained_.find(self_.name);
  const fleet_member& expected =
      before == retained_.end() ? self_ : before->second;
  return !(listed == expected);
}

// An earlier process of this name was killed and may have had another address,
// so its entry is replaced.
void instance_registry::OnNameTaken() {
  replaced_old_entry_ = true;
  Unregister();
}

void instance_registry::OnPeerMembers(
    const std::vector<fleet_member>& members) {
  if (completed_counts_ >= kStartupCounts) return;
  members_by_name others;
  for (const fleet_member& each : members) {
    if (each.name != self_.name) others[each.name] = each;
  }
  Retain(others);
  if (completed_counts_ == 0) ReportPosition(true);
}

void instance_registry::Count() {
  if (leaving_) return;
  Call(format_.FormatListRequest(stored_kind::kInstances, list_after_, true),
       [this, era = era_.Known()](const http_exchange_channel::result& result) {
         OnList(era, result);
       });
}

void instance_registry::BeginCount() {
  members_.clear();
  list_after_.clear();
}

void instance_registry::ScheduleCount(milliseconds delay) {
  if (count_timer_.has_value()) loop_.Cancel(*count_timer_);
  count_timer_ = loop_.ScheduleAfter(delay, [this](monotonic_time) {
    count_timer_.reset();
    Count();
  });
}

milliseconds instance_registry::NextCountDelay() {
  if (completed_counts_ == 1) return kSecondCountDelay;
  if (quick_counts_ == 0) return kCountInterval;
  --quick_counts_;
  return kRecountDelay;
}

void instance_registry::OnList(std::int64_t era,
                               const http_exchange_channel::result& result) {
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
    // The same page would be answered alike.
    if (answered || result.too_large) BeginCount();
    return ScheduleCount(kRecountDelay);
  }
  // The pages before were of another era.
  if (!list_after_.empty() && era != era_.Known()) {
    BeginCount();
    return Count();
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
  listed_ = std::exchange(members_, {});
  CheckOwnEntry();
  ReportPosition(completed_counts_ < kStartupCounts);
  ScheduleCount(NextCountDelay());
}

void instance_registry::ReportPosition(bool starting) {
  members_by_name counted = listed_;
  if (loop_context::Now() < retained_until_)
    counted.insert(retained_.begin(), retained_.end());
  const auto place = counted.lower_bound(self_.name);
  const bool listed = place != counted.end() && place->first == self_.name;
  const std::size_t count = counted.size() + (listed ? 0 : 1);
  fleet_position fleet{
      std::max(count, starting ? kMinStartupInstances : std::size_t{1}),
      static_cast<std::size_t>(std::distance(counted.begin(), place)),
      {}};
  // The others of a data centre may not have registered yet.
  if (!starting) {
    for (const auto& each : counted)
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
  members.reserve(counted.size());
  for (auto& each : counted) members.push_back(std::move(each.second));
  on_count_(fleet, std::move(members));
}

http_exchange_channel::result instance_registry::InKnownEra(
    http_exchange_channel::result result) {
  if (IsOfOlderEra(result, format_, era_)) {
    result.failure = channel_failure::kBroken;
    result.why = "an older era";
  }
  return result;
}

void instance_registry::Call(
    std::string request,
    const std::function<void(const http_exchange_channel::result&)>& done) {
  const auto channel =
      std::make_shared<http_exchange_channel>(loop_, store_, kCallTimeout);
  const auto handled = std::make_shared<bool>(false);
  channel->Exchange(std::move(request), false,
                    [this, channel, handled,
                     done](const http_exchange_channel::result& result) {
                      if (*handled) return;
                      *handled = true;
                      channel->Close();
                      done(InKnownEra(result));
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
