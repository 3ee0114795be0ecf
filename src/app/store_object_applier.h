#ifndef PAPAYAGLADE_APP_STORE_OBJECT_APPLIER_H_
#define PAPAYAGLADE_APP_STORE_OBJECT_APPLIER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "app/entry_service.h"
#include "app/structured_log.h"
#include "coordination/upstream_directory.h"
#include "protocol/store_format.h"
#include "state/copy_status.h"

namespace papayaglade {

/// Applies objects of the store to the directory and the service: the
/// configuration, upstreams and closed data centres. A configuration with a
/// version that is not above the current one is ignored. A restored store may
/// still lack what was written since its copy, so for a short time what the
/// copy would undo is deferred.
class store_object_applier {
 public:
  /// The references must outlive this object.
  store_object_applier(const store_format& format, structured_log& log,
                       upstream_directory& directory, entry_service& service);

  /// Applies changed objects of one kind; each object occurs once.
  void OnChanges(stored_kind kind, const std::vector<stored_object>& objects);

  /// Handles that the store was restored, before its state is applied.
  void OnNewEra(monotonic_time now);
  /// Applies what was deferred, once the time for that is over, and entries of
  /// processes that started before a known one, once they have proved to be no
  /// late reports.
  void ApplyDeferred(monotonic_time now);

  /// Returns the number of changes that could not be read as a configuration or
  /// an upstream.
  std::uint64_t UnreadableCount() const { return unreadable_; }
  /// Returns the configuration that was received last, if it is not in force.
  const unapplied_configuration& Unapplied() const { return unapplied_; }
  /// Returns the version in force, -1 before the first.
  std::int64_t Version() const { return version_; }

 private:
  enum class upstream_change {
    kReady,
    kDraining,
    kGone,
    kUnreadable,
    kOutdated,  ///< A later report of the upstream is known.
    kDeferred,  ///< It was gone, and the store may have come back from before.
    kEarlierProcess,  ///< A process is known that started later.
  };

  /// An entry that does not count yet, as its process started before a known
  /// one. What is live under the id writes its own report.
  struct earlier_process {
    stored_object object;
    upstream_record record;
    monotonic_time until;  ///< If the entry stands until then, it counts.
  };

  static const char* UpstreamChangeName(upstream_change change);
  void OnConfiguration(const std::vector<stored_object>& objects);
  void Apply(tier_configuration configuration);
  void OnUpstreams(const std::vector<stored_object>& objects);
  void OnClosedDataCentres(const std::vector<stored_object>& objects);
  /// Applies one object and returns the new state of its upstream.
  upstream_change ApplyUpstream(const stored_object& object,
                                monotonic_time now);
  upstream_change ApplyRecord(const stored_object& object,
                              const upstream_record& record,
                              const std::optional<earlier_process>& before,
                              monotonic_time now);
  /// Returns and removes what is kept of an earlier process of the upstream.
  std::optional<earlier_process> TakeEarlierProcess(const std::string& name);
  /// Keeps the entry of a process that started before a known one. `before` is
  /// what was kept of the id.
  void KeepEarlierProcess(const stored_object& object,
                          const upstream_record& record,
                          const std::optional<earlier_process>& before,
                          monotonic_time now);
  /// Applies the entries of earlier processes that have stood for long enough.
  void ApplyEarlierProcesses(monotonic_time now);
  /// Counts and logs an object that does not describe an upstream.
  void OnUnreadableUpstream(const stored_object& object,
                            const fault_list& faults);

  const store_format& format_;
  structured_log& log_;
  upstream_directory& directory_;
  entry_service& service_;
  std::uint64_t unreadable_ = 0;
  /// Number of unreadable upstreams in the present change.
  std::size_t unreadable_lines_ = 0;
  /// Version of the configuration in force; -1 before the first.
  std::int64_t version_ = -1;
  unapplied_configuration unapplied_;
  /// Names of the closed data centres.
  std::set<std::string> closed_data_centres_;
  /// The end of the time in which changes are deferred, after a restore.
  std::optional<monotonic_time> deferred_until_;
  /// Entries of upstreams that were gone, keyed by name.
  std::map<std::string, stored_object> deferred_upstreams_;
  /// Entries of processes that started before a known one, keyed by name.
  std::map<std::string, earlier_process> earlier_processes_;
  /// Closed data centres that the store no longer lists.
  std::set<std::string> deferred_openings_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STORE_OBJECT_APPLIER_H_
