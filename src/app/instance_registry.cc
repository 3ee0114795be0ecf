#include "app/instance_registry.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "protocol/mirror_codec.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{1500};
constexpr milliseconds kEnterAgain{1000};
// While others that start at the same time enter themselves.
constexpr milliseconds kSecondCount{300};
constexpr milliseconds kCountAgain{1500};
constexpr std::size_t kFirstCounts = 3;
constexpr milliseconds kCountPeriod{6000};
constexpr std::size_t kLeastAtFirst = 8;
constexpr int kOk = 200;
constexpr int kFirstRedirect = 300;
constexpr int kExists = 409;

}  // namespace

instance_registry::instance_registry(loop_context& loop,
                                     const store_format& format,
                                     decision_log& log, endpoint store,
                                     fleet_member self, count_handler on_count)
    : loop_(loop),
      format_(format),
      log_(log),
      store_(std::move(store)),
      self_(std::move(self)),
      on_count_(std::move(on_count)) {}

// The first list tells whether an earlier process of this name was entered.
void instance_registry::Start() { Count(); }

void instance_registry::Leave() {
  leaving_ = true;
  TakeOut();
}

void instance_registry::TakeOut() {
  Call(format_.FormatDeleteRequest(stored_kind::kInstances, self_.name),
       [this](const http_exchange_channel::result& result) {
         if (result.failure.has_value()) {
           log_.Write(
               decision_log::kind::kEvent,
               log_line("instance_not_taken_out").With("why", result.why));
         }
         Enter();
       });
}

void instance_registry::Enter() {
  if (leaving_) return;
  Call(
      format_.FormatCreateRequest(stored_kind::kInstances, EncodeMember(self_)),
      [this](const http_exchange_channel::result& result) {
        const int status = static_cast<int>(result.message.result_int());
        const bool answered = !result.failure.has_value();
        if (answered && status == kExists && !replaced_) return OnExists();
        if (answered && (status < kFirstRedirect || status == kExists)) return;
        log_.Write(decision_log::kind::kEvent, log_line("instance_not_entered")
                                                   .With("status", status)
                                                   .With("why", result.why));
        loop_.After(kEnterAgain, [this](monotonic_time) { Enter(); });
      });
}

// An earlier process of this name was killed, perhaps at another address.
void instance_registry::OnExists() {
  replaced_ = true;
  TakeOut();
}

void instance_registry::Learn(const std::vector<fleet_member>& members) {
  if (counts_ > 0) return;
  members_.clear();
  for (const fleet_member& each : members) members_[each.name] = each;
  Tell(true);
}

void instance_registry::Count() {
  if (leaving_) return;
  Call(format_.FormatListRequest(stored_kind::kInstances, after_, true),
       [this](const http_exchange_channel::result& result) { OnList(result); });
}

void instance_registry::OnList(const http_exchange_channel::result& result) {
  if (!std::exchange(entering_, true)) Enter();
  const bool answered =
      !result.failure.has_value() && result.message.result_int() == kOk;
  const auto page = answered ? format_.DecodeList(result.message.body())
                             : std::optional<store_page>();
  if (!page.has_value()) {
    log_.Write(
        decision_log::kind::kEvent,
        log_line("instances_not_counted")
            .With("why", result.why)
            .With("kept", static_cast<std::int64_t>(
                              counted_.value_or(fleet_position()).instances)));
    loop_.After(kCountAgain, [this](monotonic_time) { Count(); });
    return;
  }
  for (const stored_object& each : page->objects) {
    members_[each.name] = DecodeMember(each);
  }
  if (page->has_more && !page->objects.empty()) {
    after_ = page->objects.back().name;
    return Count();
  }
  after_.clear();
  ++counts_;
  Tell(counts_ < kFirstCounts);
  milliseconds wait = kCountPeriod;
  if (counts_ < kFirstCounts) wait = counts_ == 1 ? kSecondCount : kCountAgain;
  loop_.After(wait, [this](monotonic_time) { Count(); });
}

void instance_registry::Tell(bool growing) {
  const auto place = members_.lower_bound(self_.name);
  const bool listed = place != members_.end() && place->first == self_.name;
  const std::size_t count = members_.size() + (listed ? 0 : 1);
  const fleet_position fleet{
      std::max(count, growing ? kLeastAtFirst : std::size_t{1}),
      static_cast<std::size_t>(std::distance(members_.begin(), place))};
  if (!counted_.has_value() || !(fleet == *counted_)) {
    log_.Write(decision_log::kind::kEvent,
               log_line("instances")
                   .With("count", static_cast<std::int64_t>(fleet.instances))
                   .With("index", static_cast<std::int64_t>(fleet.index)));
  }
  counted_ = fleet;
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
  loop_.After(kCallTimeout, [channel, handled, done](monotonic_time) {
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
