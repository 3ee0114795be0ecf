#ifndef PAPAYAGLADE_PROTOCOL_CONFIGURATION_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_CONFIGURATION_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "protocol/fault.h"
#include "state/cluster_view.h"

namespace papayaglade {

/// Parses one service file (`*.papayaglade.json`). `file` is the file name used
/// in faults. The result is valid only if no fault is added.
service_definition ParseServiceFile(const std::string& file,
                                    const std::string& text,
                                    fault_list& faults);

nlohmann::json ServiceToJson(const service_definition& service);

/// Formats the value of the object `configuration/current`.
std::string FormatConfiguration(const configuration& config);
/// Returns std::nullopt if `text` is malformed.
std::optional<configuration> ParseConfiguration(const std::string& text);

/// Parses the value of an object of kind `snapshots`. Returns std::nullopt if
/// `text` is malformed.
std::optional<service_snapshots> ParseSnapshots(const std::string& service,
                                                const std::string& text);

/// Formats the value of an object of kind `roster`.
std::string FormatRoster(const roster& value);
/// Returns std::nullopt if `text` is malformed.
std::optional<roster> ParseRoster(const std::string& data_centre,
                                  const std::string& text);

/// Formats the value of an object of kind `order`.
std::string FormatOrder(const data_centre_order& value);
/// Returns std::nullopt if `text` is malformed.
std::optional<data_centre_order> ParseOrder(const std::string& data_centre,
                                            const std::string& text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CONFIGURATION_CODEC_H_
