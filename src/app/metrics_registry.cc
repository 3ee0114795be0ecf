#include "app/metrics_registry.h"

#include <sstream>
#include <tuple>

namespace papayaglade {

namespace {

constexpr unsigned kLatencyBins = 48;
constexpr double kMinLatencySeconds = 0.0001;
constexpr double kMaxLatencySeconds = 100.0;
constexpr unsigned kCoverageBins = 20;
// Callers choose their own label, so the number of series is limited; above the
// limit, new callers share the label `other`.
constexpr std::size_t kMaxSeries = 2000;
constexpr char kOtherCallers[] = "other";

struct metric_descriptor {
  const char* name;
  const char* label;
  const char* help;
};

metric_descriptor DescriptorOf(counter_metric metric) {
  switch (metric) {
    case counter_metric::kFirstAttempts:
      return {"papayaglade_first_attempts_total", "workload",
              "Shard requests sent as first attempts."};
    case counter_metric::kRetries:
      return {"papayaglade_retries_total", "workload",
              "Shard requests repeated after a failure."};
    case counter_metric::kHedges:
      return {"papayaglade_hedges_total", "workload",
              "Shard requests sent to a second replica."};
    case counter_metric::kShardRefusals:
      return {"papayaglade_shard_refusals_total", "reason",
              "Shard requests that did not answer."};
    case counter_metric::kUpstreamRequests:
      return {"papayaglade_upstream_requests_total", "upstream",
              "Requests sent to an upstream."};
    case counter_metric::kUpstreamLosses:
      return {"papayaglade_upstream_losses_total", "upstream",
              "Requests whose end at the upstream is not proven."};
    case counter_metric::kPlatformCalls:
      return {"papayaglade_platform_calls_total", "outcome",
              "Calls to the platform, a waiting watch counted as one."};
    case counter_metric::kRosterChanges:
      return {"papayaglade_roster_changes_total", "data_centre",
              "Roster epochs seen."};
    case counter_metric::kUnanswered:
      return {"papayaglade_unanswered_total", "by",
              "Requests read whole whose connection ended before the answer."};
  }
  return {"", "", ""};
}

metric_descriptor DescriptorOf(gauge_metric metric) {
  switch (metric) {
    case gauge_metric::kUpstreamInFlight:
      return {"papayaglade_upstream_in_flight", "upstream",
              "Requests at an upstream, unproven ends included."};
    case gauge_metric::kUpstreamLimit:
      return {"papayaglade_upstream_limit", "upstream",
              "Requests an upstream may have at present."};
    case gauge_metric::kUpstreamPhase:
      return {"papayaglade_upstream_phase", "upstream",
              "Phase of an upstream by number; see the operators' page."};
    case gauge_metric::kQueueLength:
      return {"papayaglade_queue_length", "class",
              "Shard requests waiting for a slot."};
    case gauge_metric::kQueriesInFlight:
      return {"papayaglade_queries_in_flight", "scope",
              "Callers' requests in progress."};
    case gauge_metric::kConfiguration:
      return {"papayaglade_configuration_version", "scope",
              "Version of the configuration in force here."};
    case gauge_metric::kMembersAlive:
      return {"papayaglade_members_alive", "data_centre",
              "Instances believed alive."};
  }
  return {"", "", ""};
}

std::string Escape(const std::string& label) {
  std::string escaped;
  for (const char c : label) {
    if (c == '\\' || c == '"') escaped += '\\';
    escaped += c == '\n' ? ' ' : c;
  }
  return escaped;
}

void WriteHeader(std::ostream& out, const metric_descriptor& metric,
                 const char* type) {
  out << "# HELP " << metric.name << " " << metric.help << "\n# TYPE "
      << metric.name << " " << type << "\n";
}

// Writes samples that are sorted by metric, with one header for each metric.
template <typename Samples>
void WriteSamples(std::ostream& out, const Samples& samples, const char* type) {
  const char* last = "";
  for (const auto& each : samples) {
    const metric_descriptor metric = DescriptorOf(each.first.first);
    if (std::string(last) != metric.name) WriteHeader(out, metric, type);
    last = metric.name;
    out << metric.name << "{" << metric.label << "=\""
        << Escape(each.first.second) << "\"} " << each.second << "\n";
  }
}

template <typename Histogram>
void WriteHistogram(std::ostream& out, const std::string& name,
                    const std::string& labels, const Histogram& histogram,
                    double sum) {
  double cumulative = histogram.at(-1);
  for (int i = 0; i < histogram.axis().size(); ++i) {
    cumulative += histogram.at(i);
    out << name << "_bucket{" << labels << ",le=\""
        << histogram.axis().bin(i).upper() << "\"} " << cumulative << "\n";
  }
  cumulative += histogram.at(histogram.axis().size());
  out << name << "_bucket{" << labels << ",le=\"+Inf\"} " << cumulative << "\n";
  out << name << "_sum{" << labels << "} " << sum << "\n";
  out << name << "_count{" << labels << "} " << cumulative << "\n";
}

}  // namespace

metrics_registry::series::series()
    : latency(boost::histogram::make_histogram(
          latency_axis(kLatencyBins, kMinLatencySeconds, kMaxLatencySeconds))),
      coverage(boost::histogram::make_histogram(
          coverage_axis(kCoverageBins, 0.0, 1.0))) {}

bool metrics_registry::series_key::operator<(const series_key& other) const {
  return std::tie(workload, priority, caller) <
         std::tie(other.workload, other.priority, other.caller);
}

void metrics_registry::Record(const request_sample& sample) {
  const std::lock_guard<std::mutex> lock(mutex_);
  series& own = FindOrAddSeries(sample);
  const double seconds = std::chrono::duration<double>(sample.latency).count();
  own.latency(seconds);
  own.latency_sum += seconds;
  own.coverage(sample.coverage);
  own.coverage_sum += sample.coverage;
  ++own.outcomes[sample.outcome];
}

void metrics_registry::Add(counter_metric metric, const std::string& label,
                           std::uint64_t count) {
  const std::lock_guard<std::mutex> lock(mutex_);
  counters_[{metric, label}] += count;
}

void metrics_registry::Set(gauge_metric metric, const std::string& label,
                           double value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  gauges_[{metric, label}] = value;
}

double metrics_registry::Gauge(gauge_metric metric,
                               const std::string& label) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = gauges_.find({metric, label});
  return found == gauges_.end() ? 0 : found->second;
}

std::string metrics_registry::Format() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ostringstream out;
  WriteSamples(out, counters_, "counter");
  WriteSamples(out, gauges_, "gauge");
  WriteHeader(out, {"papayaglade_request_seconds", "", "Caller latency."},
              "histogram");
  WriteHeader(out, {"papayaglade_coverage", "", "Shards answered, a share."},
              "histogram");
  WriteHeader(out, {"papayaglade_requests_total", "", "Requests by outcome."},
              "counter");
  for (const auto& each : requests_) {
    const std::string labels = "workload=\"" + Escape(each.first.workload) +
                               "\",class=\"" + Escape(each.first.priority) +
                               "\",caller=\"" + Escape(each.first.caller) +
                               "\"";
    WriteHistogram(out, "papayaglade_request_seconds", labels,
                   each.second.latency, each.second.latency_sum);
    WriteHistogram(out, "papayaglade_coverage", labels, each.second.coverage,
                   each.second.coverage_sum);
    for (const auto& outcome : each.second.outcomes) {
      out << "papayaglade_requests_total{" << labels << ",outcome=\""
          << Escape(outcome.first) << "\"} " << outcome.second << "\n";
    }
  }
  return out.str();
}

metrics_registry::series& metrics_registry::FindOrAddSeries(
    const request_sample& sample) {
  series_key key{sample.workload, RequestClassName(sample.priority),
                 sample.caller};
  const bool known = requests_.count(key) != 0;
  if (!known && requests_.size() >= kMaxSeries) key.caller = kOtherCallers;
  return requests_[key];
}

}  // namespace papayaglade
