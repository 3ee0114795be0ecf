#include "app/store_feed.h"

#include <utility>

namespace papayaglade {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kConnectTimeout{1000};
constexpr int kOk = 200;
constexpr int kGone = 410;

}  // namespace

store_feed::store_feed(loop_context& loop, const store_format& format,
                       decision_log& log, endpoint store, stored_kind kind,
                       milliseconds wait, handlers handlers)
    : loop_(loop),
      format_(format),
      log_(log),
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

void store_feed::SkipTo(std::int64_t revision) {
  items_.clear();
  listed_ = true;
  plan_.SkipTo(revision);
}

void store_feed::Suspect() {
  if (plan_.Lost() || plan_.Listing() || awaited_ == 0) return;
  Failed("suspected");
}

void store_feed::Resume() {
  if (!parked_.has_value()) return;
  CallAfter(*parked_);
  parked_.reset();
}

void store_feed::Call() {
  if (channel_ == nullptr || !channel_->Reusable()) {
    channel_ =
        std::make_shared<http_exchange_channel>(loop_, store_, kConnectTimeout);
  }
  const feed_plan::call next = plan_.Next();
  const std::uint64_t call = ++calls_;
  awaited_ = call;
  timeout_ = loop_.After(next.timeout, [this](monotonic_time) {
    timeout_.reset();
    Failed("no answer");
  });
  std::string request =
      next.list ? format_.FormatListRequest(kind_, next.after, false)
                : format_.FormatWatchRequest(kind_, next.revision, next.wait);
  channel_->Exchange(
      std::move(request), false,
      [this, call, next](const http_exchange_channel::result& result) {
        if (call == awaited_) OnResult(next, result);
      });
}

void store_feed::OnResult(const feed_plan::call& made,
                          const http_exchange_channel::result& result) {
  if (result.failure.has_value()) return Failed(result.why);
  const auto status = static_cast<int>(result.message.result_int());
  if (status != kOk && status != kGone) return Failed("refused");
  if (status == kGone) {
    NoteAnswer();
    log_.Write(decision_log::kind::kEvent,
               log_line("store_history_gone")
                   .With("kind", StoredKindName(kind_))
                   .With("revision", plan_.Revision()));
    items_.clear();
    return CallAfter(plan_.OnHistoryGone());
  }
  if (!made.list) return OnEvents(made.revision, result.message.body());
  if (plan_.Listing()) return OnList(result.message.body());
  // Meanwhile the state came from elsewhere.
  NoteAnswer();
  CallAfter(milliseconds(0));
}

void store_feed::OnList(const std::string& body) {
  auto page = format_.DecodeList(body);
  if (!page.has_value()) return Failed("unreadable list");
  NoteAnswer();
  const std::string last =
      page->objects.empty() ? "" : page->objects.back().name;
  for (stored_object& each : page->objects) items_.push_back(std::move(each));
  CallAfter(plan_.OnPage(page->revision, page->has_more, last));
  if (plan_.Listing()) return;
  listed_ = true;
  store_page whole;
  whole.objects = std::exchange(items_, {});
  whole.revision = plan_.Revision();
  handlers_.on_list(whole);
}

void store_feed::OnEvents(std::int64_t from, const std::string& body) {
  const auto page = format_.DecodeEvents(body);
  if (!page.has_value()) return Failed("unreadable events");
  NoteAnswer();
  CallAfter(plan_.OnEvents(page->revision, page->objects.size()));
  handlers_.on_events(from, *page);
}

void store_feed::Failed(const char* why) {
  if (timeout_.has_value()) loop_.Cancel(*timeout_);
  timeout_.reset();
  awaited_ = 0;
  channel_->Close();
  const bool news = !plan_.Lost();
  if (news) {
    log_.Write(decision_log::kind::kEvent,
               log_line("store_lost")
                   .With("kind", StoredKindName(kind_))
                   .With("why", why)
                   .With("revision", plan_.Revision()));
  }
  const milliseconds delay = plan_.OnFailure();
  if (listed_ && waits_for_others_ && active_) {
    parked_ = delay;
  } else {
    CallAfter(delay);
  }
  if (news && handlers_.on_lost) handlers_.on_lost();
}

void store_feed::CallAfter(milliseconds delay) {
  loop_.After(delay, [this](monotonic_time) {
    idle_ = !active_;
    if (active_) Call();
  });
}

void store_feed::NoteAnswer() {
  last_answer_ = loop_context::Now();
  if (timeout_.has_value()) loop_.Cancel(*timeout_);
  timeout_.reset();
  awaited_ = 0;
  if (plan_.Lost()) {
    log_.Write(decision_log::kind::kEvent,
               log_line("store_regained")
                   .With("kind", StoredKindName(kind_))
                   .With("revision", plan_.Revision()));
  }
  if (handlers_.on_answer) handlers_.on_answer();
}

}  // namespace papayaglade
