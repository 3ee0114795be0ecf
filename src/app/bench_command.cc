#include <tclap/CmdLine.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <optional>

#include "app/bench_direct_target.h"
#include "app/bench_entry_target.h"
#include "app/bench_load_generator.h"
#include "app/bench_plot.h"
#include "app/command.h"
#include "app/service_files.h"
#include "protocol/configuration_codec.h"

namespace papayaglade {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kTimeout{10000};
constexpr int kMaxPort = 65535;

/// Command line options of `papayaglade bench`.
struct bench_options {
  explicit bench_options(TCLAP::CmdLine& line)
      : entries("", "entry", "callers' port of an instance; can be repeated",
                false, "IP:PORT", line),
        direct(
            "", "direct",
            "send queries directly to the upstreams of this service file, as a "
            "baseline",
            false, "", "FILE", line),
        map("", "partition-map",
            "the service's `snapshots` object; required with --direct", false,
            "", "FILE", line),
        workload("", "workload", "workload of the queries", false, "", "NAME",
                 line),
        query("", "query", "text of the queries", false, "bench", "TEXT", line),
        callers("", "callers", "number of caller names to use in turn", false,
                1, "COUNT", line),
        rate("", "rate", "queries per second", false, 10, "COUNT", line),
        seconds("", "seconds", "duration of the measured load", false, 10,
                "SECONDS", line),
        warm_up("", "warm-up-seconds",
                "duration of the warm-up load, which is not reported", false, 2,
                "SECONDS", line),
        connections("", "connections",
                    "maximum number of connections to each instance", false, 64,
                    "COUNT", line),
        seed("", "seed", "seed of the arrival times", false, 1, "NUMBER", line),
        constant("", "constant",
                 "arrivals at equal intervals instead of Poisson arrivals",
                 line),
        name("", "name", "name of the curve in the plot", false, "this run",
             "TEXT", line),
        report("", "report", "write the report to this file as JSON", false, "",
               "FILE", line),
        plot("", "plot", "plot the latencies to this file as SVG", false, "",
             "FILE", line),
        compare("", "compare", "also plot this earlier report", false, "FILE",
                line) {}

  TCLAP::MultiArg<std::string> entries;
  TCLAP::ValueArg<std::string> direct;
  TCLAP::ValueArg<std::string> map;
  TCLAP::ValueArg<std::string> workload;
  TCLAP::ValueArg<std::string> query;
  TCLAP::ValueArg<int> callers;
  TCLAP::ValueArg<double> rate;
  TCLAP::ValueArg<int> seconds;
  TCLAP::ValueArg<int> warm_up;
  TCLAP::ValueArg<int> connections;
  TCLAP::ValueArg<std::uint64_t> seed;
  TCLAP::SwitchArg constant;
  TCLAP::ValueArg<std::string> name;
  TCLAP::ValueArg<std::string> report;
  TCLAP::ValueArg<std::string> plot;
  TCLAP::MultiArg<std::string> compare;
};

std::optional<endpoint> ParseEndpoint(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  char* end = nullptr;
  const long port = std::strtol(text.c_str() + colon + 1, &end, 10);
  const bool valid = *end == '\0' && port > 0 && port <= kMaxPort;
  if (!valid) return std::nullopt;
  return endpoint{text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

std::unique_ptr<bench_target> MakeEntryTarget(boost::asio::io_context& io,
                                              const bench_options& options) {
  std::vector<endpoint> entries;
  for (const std::string& each : options.entries.getValue()) {
    const auto entry = ParseEndpoint(each);
    if (!entry.has_value()) {
      std::cerr << "--entry " << each
                << ": not an address; give an IP address and a port, "
                << "such as 127.0.0.1:8080\n";
      return nullptr;
    }
    entries.push_back(*entry);
  }
  if (entries.empty() || !options.workload.isSet()) {
    std::cerr << "no target; give --entry and --workload, or --direct\n";
    return nullptr;
  }
  std::vector<std::string> bodies;
  for (int i = 0; i < std::max(1, options.callers.getValue()); ++i) {
    bodies.push_back(json({{"workload", options.workload.getValue()},
                           {"query", options.query.getValue()},
                           {"caller", "bench-" + std::to_string(i)}})
                         .dump());
  }
  return std::make_unique<bench_entry_target>(
      io, entries, static_cast<std::size_t>(options.connections.getValue()),
      kTimeout, std::move(bodies));
}

std::unique_ptr<bench_target> MakeDirectTarget(boost::asio::io_context& io,
                                               const bench_options& options) {
  const auto file = ReadFile(options.direct.getValue());
  const auto map_text = ReadFile(options.map.getValue());
  if (!file.has_value() || !map_text.has_value()) {
    std::cerr
        << "cannot read --direct or --partition-map; give two readable files\n";
    return nullptr;
  }
  fault_list faults;
  const service_definition service =
      ParseServiceFile(options.direct.getValue(), *file, faults);
  PrintFaults(faults, false);
  const auto snapshots = ParseSnapshots(service.name, *map_text);
  if (!faults.empty()) return nullptr;
  if (!snapshots.has_value() || snapshots->snapshots.empty()) {
    std::cerr << "--partition-map contains no snapshot; give the value of the "
                 "service's `snapshots` object\n";
    return nullptr;
  }
  return std::make_unique<bench_direct_target>(
      io, service, snapshots->snapshots.front(), options.query.getValue(),
      kTimeout);
}

load_plan MakeLoadPlan(const bench_options& options) {
  load_plan plan;
  if (options.constant.getValue()) plan.arrivals = arrival_process::kConstant;
  plan.queries_per_second = options.rate.getValue();
  plan.duration = std::chrono::seconds(options.seconds.getValue());
  plan.warm_up = std::chrono::seconds(options.warm_up.getValue());
  plan.seed = options.seed.getValue();
  return plan;
}

bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty()) return true;
  std::ofstream file(path);
  file << text;
  if (file.good()) return true;
  std::cerr << "cannot write " << path << "; give a file in a folder with "
            << "write permission\n";
  return false;
}

bool WritePlot(const bench_options& options, const bench_report& report) {
  std::vector<plotted_curve> curves;
  for (const std::string& path : options.compare.getValue()) {
    const json earlier =
        json::parse(ReadFile(path).value_or(""), nullptr, false);
    if (!earlier.is_object()) {
      std::cerr << "--compare " << path
                << ": not a report; give a file that --report wrote\n";
      return false;
    }
    curves.push_back({earlier.value("name", path), CurveFromJson(earlier)});
  }
  curves.push_back({options.name.getValue(), report.Curve()});
  return WriteFile(options.plot.getValue(), PlotCurves(curves));
}

json MakeReport(const bench_options& options, const bench_report& report) {
  json report_json = report.ToJson();
  report_json["name"] = options.name.getValue();
  report_json["rate"] = options.rate.getValue();
  report_json["seconds"] = options.seconds.getValue();
  report_json["seed"] = options.seed.getValue();
  return report_json;
}

}  // namespace

exit_code RunBench(std::vector<std::string>& arguments) {
  TCLAP::CmdLine line("Generates an open-loop load and reports the latencies.",
                      ' ', kVersionText);
  const bench_options options(line);
  line.parse(arguments);
  if (options.rate.getValue() <= 0 || options.seconds.getValue() <= 0) {
    std::cerr << "--rate and --seconds must be greater than zero\n";
    return exit_code::kUsage;
  }
  boost::asio::io_context io(1);
  const auto target = options.direct.isSet() ? MakeDirectTarget(io, options)
                                             : MakeEntryTarget(io, options);
  if (target == nullptr) return exit_code::kUsage;
  const bench_report report =
      bench_load_generator(io, *target, MakeLoadPlan(options)).Run();
  const json report_json = MakeReport(options, report);
  std::cout << report_json.dump(2) << "\n";
  const bool written =
      WriteFile(options.report.getValue(), report_json.dump(2) + "\n") &&
      (options.plot.getValue().empty() || WritePlot(options, report));
  return written && report.Queries() > 0 ? exit_code::kDone
                                         : exit_code::kFailed;
}

}  // namespace papayaglade
