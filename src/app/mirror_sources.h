#ifndef PAPAYAGLADE_APP_MIRROR_SOURCES_H_
#define PAPAYAGLADE_APP_MIRROR_SOURCES_H_

#include <map>
#include <string>

#include "app/structured_log.h"
#include "state/mirror_message.h"
#include "transport/instance_links.h"

namespace papayaglade {

/// The instances that this one follows, and what they were asked for.
class mirror_sources {
 public:
  mirror_sources(structured_log& log, instance_links& links)
      : log_(log), links_(links) {}

  /// Opens a link to an instance. It is a source from now on.
  void Dial(const fleet_member& member);
  /// Closes the link to the source of this name, if there is one.
  void Close(const std::string& instance);
  /// Removes the source whose link has closed and returns its name, or an empty
  /// string if it is none.
  std::string Remove(instance_links::id link, const std::string& why);
  /// Returns the name of the source, or an empty string if it is none.
  std::string NameOf(instance_links::id link) const;

  /// Sends the positions of this instance to a source and asks for what is
  /// newer. Does nothing if the link is to no source.
  void Subscribe(instance_links::id link,
                 const mirror_subscription& subscription);
  /// Does so unless the source is about to answer the same question.
  void AskForMissed(instance_links::id link,
                    const mirror_subscription& subscription);
  /// Subscribes to all sources again, once an interval is over since the last
  /// time.
  void SubscribeAgain(const mirror_subscription& subscription,
                      monotonic_time now);

 private:
  struct source {
    std::string instance;
    /// What it was asked for last.
    mirror_subscription asked;
    monotonic_time asked_at;
  };

  structured_log& log_;
  instance_links& links_;
  /// The sources, keyed by link.
  std::map<instance_links::id, source> sources_;
  monotonic_time subscribed_at_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_MIRROR_SOURCES_H_
