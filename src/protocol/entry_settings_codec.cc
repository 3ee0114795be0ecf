#include "protocol/entry_settings_codec.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <utility>

#include "protocol/json_reader.h"

namespace papayaglade {

namespace {

constexpr unsigned kMostPort = 65'535;
constexpr std::int64_t kLeastDescriptors = 64;
constexpr std::int64_t kMostDescriptors = 1'000'000;
constexpr std::int64_t kLongestBoundMs = 600'000;
constexpr std::int64_t kLongestWindowS = 600;
constexpr double kMostRatio = 10;
constexpr double kMostCores = 1024;
constexpr double kMostExtra = 1'000'000;

endpoint ReadEndpoint(json_reader& reader, const std::string& key) {
  const auto read = ParseEndpoint(reader.RequiredString(key));
  if (read.has_value()) return *read;
  reader.AddFault(key, "not an address and port",
                  "write it as in \"10.0.0.7:8104\"");
  return {};
}

repeat_limits ReadRepeats(json_reader reader) {
  repeat_limits result;
  result.ratio = reader.OptionalNumber("ratio", result.ratio, 0, kMostRatio);
  result.extra = reader.OptionalNumber("extra", result.extra, 0, kMostExtra);
  result.window = std::chrono::seconds(reader.OptionalInteger(
      "window_s", result.window.count(), 1, kLongestWindowS));
  reader.RefuseUnknownMembers();
  return result;
}

warmup_limits ReadWarmup(json_reader reader) {
  warmup_limits result;
  result.overshoot =
      reader.OptionalNumber("overshoot", result.overshoot, 0, kMostRatio);
  result.slack = reader.OptionalNumber("slack", result.slack, 0, kMostExtra);
  reader.RefuseUnknownMembers();
  return result;
}

change_bounds ReadBounds(json_reader reader) {
  change_bounds result;
  result.drain = std::chrono::milliseconds(reader.OptionalInteger(
      "drain_ms", result.drain.count(), 1, kLongestBoundMs));
  constexpr double kLongestShutdownS = 600;
  const double seconds =
      reader.OptionalNumber("shutdown_s", 6, 1, kLongestShutdownS);
  result.shutdown = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::duration<double>(seconds));
  reader.RefuseUnknownMembers();
  return result;
}

entry_settings ReadSettings(json_reader& reader) {
  entry_settings result;
  result.name = reader.RequiredString("name");
  result.data_centre = reader.RequiredString("data_centre");
  result.region = reader.OptionalString("region", "");
  result.callers = ReadEndpoint(reader, "callers");
  result.readiness = ReadEndpoint(reader, "readiness");
  result.control = ReadEndpoint(reader, "control");
  result.metrics = ReadEndpoint(reader, "metrics");
  result.store = ReadEndpoint(reader, "store");
  result.seeds = reader.Strings("seeds");
  result.descriptors = static_cast<std::size_t>(reader.OptionalInteger(
      "descriptors", 1024, kLeastDescriptors, kMostDescriptors));
  result.cores = reader.OptionalNumber("cores", 0, 0, kMostCores);
  result.repeats = ReadRepeats(reader.Object("repeats"));
  result.warmup = ReadWarmup(reader.Object("warmup"));
  result.bounds = ReadBounds(reader.Object("bounds"));
  reader.RefuseUnknownMembers();
  return result;
}

}  // namespace

std::optional<endpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const std::string host = text.substr(0, colon);
  boost::system::error_code failed;
  boost::asio::ip::make_address_v4(host, failed);
  if (failed) return std::nullopt;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data() + colon + 1, end, port);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  if (port == 0 || port > kMostPort) return std::nullopt;
  return endpoint{host, static_cast<std::uint16_t>(port)};
}

entry_settings ParseEntrySettings(const std::string& file,
                                  const std::string& text, fault_list& faults) {
  return ReadDocument(file, text, faults, ReadSettings);
}

}  // namespace papayaglade
