#include "protocol/entry_settings_codec.h"

#include <boost/asio/ip/address_v4.hpp>
#include <charconv>
#include <utility>

#include "protocol/json_reader.h"

namespace papayaglade {

namespace {

constexpr unsigned kMaxPort = 65'535;
constexpr std::int64_t kMinDescriptors = 64;
constexpr std::int64_t kMaxDescriptors = 1'000'000;
constexpr std::size_t kBytesInMegabyte = 1000 * 1000;
constexpr std::int64_t kDefaultMemoryMb = 256;
constexpr std::int64_t kMaxMemoryMb = 1'000'000;
constexpr std::int64_t kMaxTimeoutMs = 600'000;
constexpr std::int64_t kMaxWindowS = 600;
constexpr double kMaxRatio = 10;
constexpr double kMaxCores = 1024;
constexpr double kMaxExtra = 1'000'000;

endpoint ReadEndpoint(json_reader& reader, const std::string& key) {
  const auto read = ParseEndpoint(reader.RequiredString(key));
  if (read.has_value()) return *read;
  reader.AddFault(key, "not an address and port",
                  "write it as in \"10.0.0.7:8104\"");
  return {};
}

repeat_limits ReadRepeats(json_reader reader) {
  repeat_limits result;
  result.ratio = reader.OptionalNumber("ratio", result.ratio, 0, kMaxRatio);
  result.extra = reader.OptionalNumber("extra", result.extra, 0, kMaxExtra);
  result.window = std::chrono::seconds(reader.OptionalInteger(
      "window_s", result.window.count(), 1, kMaxWindowS));
  reader.RejectUnknownMembers();
  return result;
}

warmup_limits ReadWarmup(json_reader reader) {
  warmup_limits result;
  result.overshoot =
      reader.OptionalNumber("overshoot", result.overshoot, 0, kMaxRatio);
  result.slack = reader.OptionalNumber("slack", result.slack, 0, kMaxExtra);
  reader.RejectUnknownMembers();
  return result;
}

std::chrono::milliseconds ReadTimeout(json_reader& reader,
                                      const std::string& key,
                                      std::chrono::milliseconds otherwise) {
  return std::chrono::milliseconds(
      reader.OptionalInteger(key, otherwise.count(), 1, kMaxTimeoutMs));
}

void ReadBounds(json_reader reader, entry_settings& settings) {
  shutdown_timeouts& result = settings.bounds;
  change_delays& delays = settings.delays;
  result.drain_timeout = ReadTimeout(reader, "drain_ms", result.drain_timeout);
  delays.leaving_upstream = result.drain_timeout;
  delays.configuration =
      ReadTimeout(reader, "configuration_ms", delays.configuration);
  delays.closed_data_centre =
      ReadTimeout(reader, "data_centre_out_ms", delays.closed_data_centre);
  constexpr double kMaxShutdownS = 600;
  const double seconds =
      reader.OptionalNumber("shutdown_s", 6, 1, kMaxShutdownS);
  result.shutdown_timeout =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          std::chrono::duration<double>(seconds));
  reader.RejectUnknownMembers();
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
      "descriptors", 1024, kMinDescriptors, kMaxDescriptors));
  result.cores = reader.OptionalNumber("cores", 0, 0, kMaxCores);
  result.memory_bytes =
      kBytesInMegabyte * static_cast<std::size_t>(reader.OptionalInteger(
                             "memory_mb", kDefaultMemoryMb, 1, kMaxMemoryMb));
  result.repeats = ReadRepeats(reader.Object("repeats"));
  result.warmup = ReadWarmup(reader.Object("warmup"));
  ReadBounds(reader.Object("bounds"), result);
  reader.RejectUnknownMembers();
  return result;
}

}  // namespace

std::optional<endpoint> ParseEndpoint(const std::string& text) {
  const auto colon = text.rfind(':');
  if (colon == std::string::npos) return std::nullopt;
  const std::string host = text.substr(0, colon);
  // The parser of addresses ignores what follows a NUL.
  if (host.find('\0') != std::string::npos) return std::nullopt;
  boost::system::error_code failed;
  boost::asio::ip::make_address_v4(host, failed);
  if (failed) return std::nullopt;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto read = std::from_chars(text.data() + colon + 1, end, port);
  if (read.ec != std::errc() || read.ptr != end) return std::nullopt;
  if (port == 0 || port > kMaxPort) return std::nullopt;
  return endpoint{host, static_cast<std::uint16_t>(port)};
}

entry_settings ParseEntrySettings(const std::string& file,
                                  const std::string& text, fault_list& faults) {
  return ReadDocument(file, text, faults, ReadSettings);
}

}  // namespace papayaglade
