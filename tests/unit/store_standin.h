#ifndef PAPAYAGLADE_TESTS_UNIT_STORE_STANDIN_H_
#define PAPAYAGLADE_TESTS_UNIT_STORE_STANDIN_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

#include "state/identity.h"
#include "state/store_position.h"
#include "transport/caller_port.h"

namespace papayaglade {

/// Returns a loopback endpoint whose port is free.
endpoint FindFreeEndpoint();

/// Runs the loop until `done` returns true. Returns false after 10 s.
bool RunUntil(loop_context& loop, const std::function<bool()>& done);

/// A stand-in for the platform's store that runs on the event loop of a test.
class store_standin : public caller_port::service {
 public:
  struct event {
    std::int64_t revision = 0;
    std::string kind;
    nlohmann::json body;
  };
  /// What a copy of the store holds.
  struct copy {
    std::int64_t revision = 0;
    std::map<std::pair<std::string, std::string>, nlohmann::json> objects;
    std::vector<event> events;
  };

  /// A list or a watch.
  struct read_call {
    enum class part { kFirstPage, kLaterPage, kWatch };

    std::string kind;
    part asked = part::kFirstPage;
    std::int64_t since = -1;  ///< The revision from which it watches.
    monotonic_time at;
  };
  /// Returns what to send in place of an answer.
  using answer_edit =
      std::function<std::string(const read_call&, const std::string& answer)>;

  explicit store_standin(loop_context& loop);

  const endpoint& Address() const { return address_; }
  void Put(const std::string& kind, const std::string& name,
           nlohmann::json content);
  /// Puts an object whose content is `text` as it stands, whether it is valid
  /// JSON or not.
  void PutText(const std::string& kind, const std::string& name,
               std::string text);
  void Delete(const std::string& kind, const std::string& name);
  /// Refuses all calls while down, including the watches that wait now.
  void SetDown(bool down);
  /// The pages of a list after the first.
  enum class later_pages { kNone, kEmpty, kRepeated };
  /// Makes every page of a list announce another one, unless `pages` is kNone.
  void SetLaterPages(later_pages pages) { later_pages_ = pages; }
  /// Makes every watch return at once, with no change.
  void SetEarlyAnswers(bool early) { early_answers_ = early; }
  /// Loses the next answer with changes to a watch on `kind`: its connection
  /// stays open, but returns nothing further.
  void LoseNextAnswer(const std::string& kind) { losing_kind_ = kind; }
  /// Answers none of the watches that wait now: their connections have gone
  /// silent, while new ones work.
  void SetSilent() { watches_.clear(); }
  bool LostAnswer() const { return lost_answer_; }
  /// Refuses the waiting watches on `kind`.
  void RefuseWaitingWatches(const std::string& kind);

  copy Copy() const;
  /// Comes back from a copy in a new era and gives out its later revisions
  /// again. Watches that wait now are refused.
  void Restore(const copy& from);
  /// Sets the era that all answers name; none if it is kNoEra.
  void SetEra(std::int64_t era) { era_ = era; }
  /// Calls `on_list` after each answer to a list.
  void SetOnList(std::function<void(const std::string& kind)> on_list) {
    on_list_ = std::move(on_list);
  }
  /// Passes all answers to lists and watches through `edit`.
  void SetAnswerEdit(answer_edit edit) { edit_ = std::move(edit); }
  /// Returns an answer that names the era of the store.
  std::string Answer(int status, const std::string& body) const;
  /// Returns all lists and watches, in order.
  const std::vector<read_call>& Reads() const { return reads_; }
  std::int64_t Revision() const { return revision_; }
  bool Has(const std::string& kind, const std::string& name) const {
    return objects_.count({kind, name}) == 1;
  }
  /// Returns the content of an object.
  const nlohmann::json& ContentOf(const std::string& kind,
                                  const std::string& name) const {
    return objects_.at({kind, name});
  }
  /// Returns the times at which objects were created by calls.
  const std::vector<monotonic_time>& CreationTimes() const {
    return creation_times_;
  }

  /// Returns how often `kind` has been listed.
  std::size_t ListCount(const std::string& kind) const;
  std::size_t WaitingWatchCount(const std::string& kind) const;
  std::uint64_t WatchCount() const { return last_watch_; }

  caller_limits Limits() const override { return {}; }
  void OnRequest(const std::shared_ptr<caller_connection>& from,
                 caller_message message) override;
  void OnMalformed(const std::shared_ptr<caller_connection>& from,
                   bool too_large) override;

 private:
  struct watch {
    std::uint64_t number = 0;
    std::string kind;
    std::int64_t from = 0;
    std::shared_ptr<caller_connection> connection;
  };

  void Respond(const std::shared_ptr<caller_connection>& to,
               const read_call& call, const nlohmann::json& body);
  void AddEvent(const std::string& kind, const std::string& name, bool deleted);
  void List(const std::shared_ptr<caller_connection>& to,
            const read_call& call);
  /// Returns `body` as text, with the content of PutText in place.
  std::string Format(const nlohmann::json& body) const;
  /// Answers `watch` with its events. Returns false without answering if there
  /// are none, unless `answer_if_empty` is set.
  bool AnswerWatch(const watch& watch, bool answer_if_empty);

  loop_context& loop_;
  endpoint address_;
  caller_port port_;
  bool down_ = false;
  later_pages later_pages_ = later_pages::kNone;
  bool early_answers_ = false;
  std::string losing_kind_;
  bool lost_answer_ = false;
  /// The content of PutText, keyed by the text that stands for it.
  std::map<std::string, std::string> texts_;
  std::int64_t revision_ = 100;
  std::uint64_t last_watch_ = 0;
  std::map<std::pair<std::string, std::string>, nlohmann::json> objects_;
  std::vector<event> events_;
  std::list<watch> watches_;
  std::map<std::string, std::size_t> lists_;
  std::int64_t era_ = 1;
  std::function<void(const std::string& kind)> on_list_;
  answer_edit edit_;
  std::vector<read_call> reads_;
  std::vector<monotonic_time> creation_times_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_TESTS_UNIT_STORE_STANDIN_H_
