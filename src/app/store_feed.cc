#include "app/store_feed.h"

#include <algorithm>
#include <utility>

#include "app/answer_era.h"

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{1000};
// Between calls whose answers bring nothing new before the wait is over.
constexpr milliseconds kRepeatedAnswerDelay{200};
// Bounds the memory that one list takes.
constexpr std::size_t kMaxListedObjects = 100'000;
// An answer that took longer was held until there was a change.
constexpr milliseconds kMinHeldTime{250};
constexpr int kStatusOk = 200;
constexpr int kStatusGone = 410;

// The store is not down; it does not take this question. 408 and 429 ask for
// the same one later.
bool IsRejection(int status) {
  constexpr int kTimeout = 408;
  constexpr int kTooMany = 429;
  constexpr int kFirst = 400;
  constexpr int kEnd = 500;
  return status >= kFirst && status < kEnd && status != kTimeout &&
         status != kTooMany;
}

}  // namespace

store_feed::store_feed(loop_context& loop, const store_format& format,
                       structured_log& log, store_era& era, endpoint store,
                       stored_kind kind, milliseconds wait, handlers handlers)
    : loop_(loop),
      format_(format),
      log_(log),
      era_(era),
      store_(std::move(store)),
      kind_(kind),
      handlers_(std::move(handlers)),
      plan_(wait) {}

void store_feed::SetActive(bool active) {
  active_ = active;
  if (!active_ || !idle_) return;
  idle_ = false;
  Call();
}

void store_feed::SkipTo(const store_position& position) {
  if (!plan_.SkipTo(position)) return;
  listed_objects_.clear();
  listed_ = true;
}

void store_feed::StartEra() {
  if (!plan_.StartEra(era_.Known())) return;
  listed_objects_.clear();
  if (pending_call_ != 0) Recall();
}

void store_feed::ListAgain() {
  if (plan_.IsListing() || idle_) return;
  plan_.ListAgain();
  if (pending_call_ != 0) Recall();
}

void store_feed::Recall() {
  EndCall();
  channel_->Close();
  ScheduleCall(milliseconds(0));
}

void store_feed::FailPendingWatch() {
  if (plan_.LastCallFailed() || plan_.IsListing() || pending_call_ == 0) return;
  HandleFailure("suspected", failure_origin::kUnclear, next_call::kSame);
}

void store_feed::Resume() {
  if (!deferred_delay_.has_value()) return;
  ScheduleCall(*deferred_delay_);
  deferred_delay_.reset();
}

void store_feed::Call() {
  on_new_connection_ = channel_ == nullptr || !channel_->IsReusable();
  if (on_new_connection_) {
    channel_ =
        std::make_shared<http_exchange_channel>(loop_, store_, kConnectTimeout);
  }
  const feed_plan::call next = plan_.Next();
  const std::uint64_t call = ++calls_;
  pending_call_ = call;
  call_start_ = loop_context::Now();
  timeout_ = loop_.ScheduleAfter(next.timeout, [this](monotonic_time) {
    timeout_.reset();
    HandleFailure("no answer", OriginOfSilence(), next_call::kSame);
  });
  std::string request =
      next.is_list ? format_.FormatListRequest(kind_, next.after_name, false)
                   : format_.FormatWatchRequest(kind_, next.position.revision,
                                                next.wait);
  channel_->Exchange(
      std::move(request), false,
      [this, call, next](const http_exchange_channel::result& result) {
        if (call == pending_call_) OnResult(next, result);
      });
}

void store_feed::OnResult(const feed_plan::call& completed,
                          const http_exchange_channel::result& result) {
  if (result.failure.has_value()) return OnNoAnswer(completed, result);
  EndCall();
  if (IsOfOlderEra(result, format_, era_))
    return HandleUnusableFailure(unused_reason::kOlderEra, "an older era");
  OnAnswer(completed, result.message);
}

// A page that was cut short is asked for again, so that a list comes to its end
// over connections that break. A watch brings more and more instead.
void store_feed::OnNoAnswer(const feed_plan::call& completed,
                            const http_exchange_channel::result& result) {
  if (result.too_large)
    return HandleUnusableFailure(unused_reason::kTooLarge, result.why);
  const bool cut_watch = result.has_head && !completed.is_list;
  HandleFailure(result.why, OriginOfSilence(),
                cut_watch ? next_call::kList : next_call::kSame);
}

void store_feed::OnRefused(int status) {
  HandleFailure("refused", failure_origin::kStore,
                IsRejection(status) ? next_call::kList : next_call::kSame);
}

void store_feed::OnAnswer(const feed_plan::call& completed,
                          const upstream_message& answer) {
  const auto status = static_cast<int>(answer.result_int());
  if (status == kStatusGone) return OnHistoryGone();
  if (status != kStatusOk) return OnRefused(status);
  // What continues from a position of another era does not belong to it.
  const bool continues = !completed.is_list || !completed.after_name.empty();
  if (continues && completed.position.era != era_.Known())
    return HandleUnusable(unused_reason::kOtherEra, plan_.Position());
  if (!completed.is_list) return OnEvents(completed, answer.body());
  if (plan_.IsListing()) return OnList(answer.body());
  // The state came from another source while the list was pending.
  ReportUnused(unused_reason::kSuperseded, plan_.Position());
  RecordAnswer();
  ScheduleCall(milliseconds(0));
}

void store_feed::OnHistoryGone() {
  RecordAnswer();
  log_.Write(structured_log::kind::kEvent,
             log_line("store_history_gone")
                 .With("kind", StoredKindName(kind_))
                 .With("era", plan_.Position().era)
                 .With("revision", plan_.Position().revision));
  listed_objects_.clear();
  ScheduleCall(plan_.OnHistoryGone());
}

void store_feed::OnList(const std::string& body) {
  auto page = format_.DecodeList(kind_, body);
  if (!page.has_value())
    return HandleUnusableFailure(unused_reason::kUnreadable, "unreadable list");
  page->position.era = era_.Known();
  RecordAnswer();
  if (listed_objects_.empty()) list_start_ = call_start_;
  CountUnnamed(*page);
  for (stored_object& each : page->objects)
    listed_objects_.push_back(std::move(each));
  const bool more =
      page->has_more && listed_objects_.size() < kMaxListedObjects;
  const milliseconds delay =
      plan_.OnPage(page->position, more, page->last_name);
  if (plan_.IsListing()) return ScheduleCall(delay);
  listed_ = true;
  store_page full_page;
  full_page.objects = std::exchange(listed_objects_, {});
  full_page.position = plan_.Position();
  const bool taken = handlers_.on_list(full_page, {list_start_, false});
  ScheduleCall(taken ? delay : plan_.OnNotTaken());
}

void store_feed::OnEvents(const feed_plan::call& completed,
                          const std::string& body) {
  auto page = format_.DecodeEvents(kind_, body);
  if (!page.has_value())
    return HandleUnusableFailure(unused_reason::kUnreadable,
                                 "unreadable events");
  page->position.era = era_.Known();
  // The store has gone back, or the answer is an old one.
  if (page->position < completed.position)
    return HandleUnusable(unused_reason::kBehind, page->position);
  const answer_time time = TimeOf(completed);
  RecordAnswer();
  CountUnnamed(*page);
  milliseconds delay = plan_.OnEvents(page->position, page->objects.size());
  const bool early = loop_context::Now() - call_start_ < completed.wait / 2;
  if (early && page->position <= completed.position) {
    delay = std::max(delay, kRepeatedAnswerDelay);
  }
  const bool taken = handlers_.on_events(completed.position, *page, time);
  ScheduleCall(taken ? delay : plan_.OnNotTaken());
}

// The answer may have waited for this process after the store gave it, but the
// store gives it no later than the end of the wait.
store_feed::answer_time store_feed::TimeOf(
    const feed_plan::call& completed) const {
  const monotonic_time at =
      std::min(loop_context::Now(), call_start_ + completed.wait);
  return {at, at - call_start_ >= kMinHeldTime};
}

store_feed::failure_origin store_feed::OriginOfSilence() const {
  return on_new_connection_ ? failure_origin::kStore : failure_origin::kUnclear;
}

void store_feed::CountUnnamed(const store_page& page) {
  if (page.unnamed == 0) return;
  unnamed_ += page.unnamed;
  log_.Write(structured_log::kind::kEvent,
             log_line("store_entries_skipped")
                 .With("kind", StoredKindName(kind_))
                 .With("count", static_cast<std::int64_t>(page.unnamed))
                 .With("revision", page.position.revision)
                 .With("why", "no usable name")
                 .With("remedy", "remove the entries from the store"));
}

void store_feed::ReportUnused(unused_reason why,
                              const store_position& arrived) const {
  if (handlers_.on_unused) handlers_.on_unused(why, arrived);
}

void store_feed::HandleUnusable(unused_reason why,
                                const store_position& arrived) {
  ReportUnused(why, arrived);
  RecordAnswer();
  listed_objects_.clear();
  ScheduleCall(plan_.OnUnusable());
}

void store_feed::HandleUnusableFailure(unused_reason why, const char* failure) {
  ReportUnused(why, plan_.Position());
  HandleFailure(failure, failure_origin::kUnclear, next_call::kList);
}

void store_feed::HandleFailure(const char* why, failure_origin origin,
                               next_call next) {
  EndCall();
  channel_->Close();
  const bool first_failure = !plan_.LastCallFailed();
  if (first_failure) {
    log_.Write(structured_log::kind::kEvent,
               log_line("store_lost")
                   .With("kind", StoredKindName(kind_))
                   .With("why", why)
                   .With("era", plan_.Position().era)
                   .With("revision", plan_.Position().revision));
  }
  milliseconds delay = plan_.OnFailure();
  if (next == next_call::kList) {
    listed_objects_.clear();
    delay = std::max(delay, plan_.OnUnusable());
  }
  // A store that has answered is there, so no other feed has to find it first.
  const bool deferred = next == next_call::kSame && listed_ && resume_required_;
  if (deferred && active_) {
    deferred_delay_ = delay;
  } else {
    ScheduleCall(delay);
  }
  if (origin == failure_origin::kStore && handlers_.on_unavailable)
    handlers_.on_unavailable();
  // The other feeds need not doubt a store that has answered.
  if (next == next_call::kList) {
    if (handlers_.on_answer) handlers_.on_answer(answer_kind::kFailure);
  } else if (handlers_.on_lost) {
    handlers_.on_lost(first_failure);
  }
}

void store_feed::ScheduleCall(milliseconds delay) {
  loop_.ScheduleAfter(delay, [this](monotonic_time) {
    idle_ = !active_;
    if (active_) Call();
  });
}

void store_feed::EndCall() {
  if (timeout_.has_value()) loop_.Cancel(*timeout_);
  timeout_.reset();
  pending_call_ = 0;
}

void store_feed::RecordAnswer() {
  last_answer_ = loop_context::Now();
  EndCall();
  if (plan_.LastCallFailed()) {
    log_.Write(structured_log::kind::kEvent,
               log_line("store_regained")
                   .With("kind", StoredKindName(kind_))
                   .With("revision", plan_.Position().revision));
  }
  if (handlers_.on_answer) handlers_.on_answer(answer_kind::kCurrent);
}

}  // namespace papayaglade
