#include "app/relay_server.h"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <vector>

#include "protocol/relay_codec.h"

namespace papayaglade {

namespace {

// Beyond this many, other instances ask the upstreams themselves.
constexpr std::size_t kMaxRuns = 1024;

}  // namespace

// The legs of one request: performs the actions that its relay_run decides on.
class relay_server::active_relay
    : public relay_run_port,
      public std::enable_shared_from_this<active_relay> {
 public:
  active_relay(relay_server& server, const run_key& key, relay_request request,
               const route& target)
      : server_(server),
        key_(key),
        configuration_(server.directory_.Configuration()),
        target_(target),
        request_(std::make_shared<const entry_request>(request.request)),
        run_(std::move(request), server.directory_, *this) {}

  void Start() {
    run_.Start(loop_context::Now());
    Continue();
  }

  void Cancel(const std::vector<std::uint64_t>& numbers) {
    const auto self = shared_from_this();
    run_.Cancel(numbers);
    Continue();
  }

  void CancelAll() {
    run_.CancelAll();
    CancelTimer();
  }

  void Send(std::uint64_t number, const upstream_pointer& upstream,
            std::chrono::milliseconds time_left) override {
    upstream_client::attempt_spec spec;
    spec.upstream = upstream;
    spec.request = request_;
    spec.configuration = configuration_;
    spec.target = &target_;
    spec.time_left = time_left;
    exchanges_[number] = server_.upstream_client_.StartAttempt(
        std::move(spec),
        [weak = weak_from_this(), number](attempt_result result) {
          if (const auto self = weak.lock())
            self->OnResult(number, std::move(result));
        });
  }

  void Abandon(std::uint64_t number) override {
    const auto found = exchanges_.find(number);
    if (found == exchanges_.end()) return;
    server_.upstream_client_.Abandon(found->second);
    exchanges_.erase(found);
  }

  void Reply(relay_reply reply) override {
    reply.stopping = server_.stopping_;
    server_.links_.Send(key_.first, EncodeRelayMessage(std::move(reply)));
  }

 private:
  void OnResult(std::uint64_t number, attempt_result result) {
    const auto self = shared_from_this();
    exchanges_.erase(number);
    run_.OnResult(number, std::move(result), loop_context::Now());
    Continue();
  }

  // Ends the relay or waits for its next timer.
  void Continue() {
    if (run_.IsDone()) {
      CancelTimer();
      return server_.Remove(key_);
    }
    if (timer_.has_value() && timer_expiry_ <= run_.NextTimer()) return;
    CancelTimer();
    timer_expiry_ = run_.NextTimer();
    timer_ = server_.loop_.ScheduleAt(
        timer_expiry_, [self = shared_from_this()](monotonic_time now) {
          self->timer_.reset();
          self->run_.OnTimer(now);
          self->Continue();
        });
  }

  void CancelTimer() {
    if (timer_.has_value()) server_.loop_.Cancel(*timer_);
    timer_.reset();
  }

  relay_server& server_;
  run_key key_;
  std::shared_ptr<const tier_configuration> configuration_;
  const route& target_;  ///< Part of `configuration_`.
  std::shared_ptr<const entry_request> request_;
  relay_run run_;
  std::unordered_map<std::uint64_t, upstream_client::id> exchanges_;
  std::optional<timer_queue::id> timer_;
  monotonic_time timer_expiry_;
};

relay_server::relay_server(loop_context& loop, instance_links& links,
                           upstream_directory& directory,
                           upstream_client& client)
    : loop_(loop),
      links_(links),
      directory_(directory),
      upstream_client_(client) {
  links_.AddHandlers(
      {nullptr,
       [this](auto link, const std::string& bytes) {
         return OnMessage(link, bytes);
       },
       [this](auto link, const std::string& /*why*/) { OnClosed(link); }});
}

relay_server::~relay_server() = default;

bool relay_server::OnMessage(instance_links::id link,
                             const std::string& bytes) {
  if (!IsRelayMessage(bytes)) return false;
  auto message = DecodeRelayMessage(bytes);
  if (!message.has_value()) return false;
  if (auto* request = std::get_if<relay_request>(&*message)) {
    OnRequest(link, std::move(*request));
    return true;
  }
  if (const auto* cancel = std::get_if<relay_cancel>(&*message)) {
    OnCancel(link, *cancel);
    return true;
  }
  return false;
}

void relay_server::OnRequest(instance_links::id link, relay_request request) {
  const run_key key{link, request.id};
  const route* target = FindRoute(request.route);
  const bool refused = stopping_ || target == nullptr ||
                       runs_.size() >= kMaxRuns || runs_.count(key) != 0;
  if (refused) return Refuse(link, request);
  leg_count_ += request.legs.size();
  const auto active =
      std::make_shared<active_relay>(*this, key, std::move(request), *target);
  runs_[key] = active;
  active->Start();
}

void relay_server::OnCancel(instance_links::id link,
                            const relay_cancel& cancel) {
  const auto found = runs_.find({link, cancel.id});
  if (found == runs_.end()) return;
  const auto active = found->second;
  active->Cancel(cancel.numbers);
}

void relay_server::OnClosed(instance_links::id link) {
  auto each = runs_.lower_bound({link, 0});
  while (each != runs_.end() && each->first.first == link) {
    each->second->CancelAll();
    each = runs_.erase(each);
  }
}

void relay_server::Refuse(instance_links::id link,
                          const relay_request& request) {
  relay_reply reply;
  reply.id = request.id;
  reply.stopping = stopping_;
  for (const relay_leg& each : request.legs)
    reply.ends.push_back({each.number, attempt_end::kNotSent});
  links_.Send(link, EncodeRelayMessage(reply));
}

const route* relay_server::FindRoute(const std::string& name) const {
  const auto& configuration = directory_.Configuration();
  if (configuration == nullptr) return nullptr;
  const auto& routes = configuration->routes;
  const auto found =
      std::find_if(routes.begin(), routes.end(),
                   [&](const route& each) { return each.name == name; });
  return found == routes.end() ? nullptr : &*found;
}

void relay_server::Remove(const run_key& key) { runs_.erase(key); }

}  // namespace papayaglade
