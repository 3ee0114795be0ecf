#ifndef PAPAYAGLADE_PROTOCOL_CONFIGURATION_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_CONFIGURATION_CODEC_H_

#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "protocol/fault.h"
#include "state/cluster_view.h"

namespace papayaglade {

/// Reads one service file (`*.papayaglade.json`); `file` names it in faults.
/// The result is meaningful only when no fault was added.
service_definition ParseServiceFile(const std::string& file,
                                    const std::string& text,
                                    fault_list& faults);

nlohmann::json ServiceToJson(const service_definition& service);

/// The value of object `configuration/current`.
std::string FormatConfiguration(const configuration& config);
/// Returns nothing when `text` breaks the format.
std::optional<configuration> ParseConfiguration(const std::string& text);

/// Reads the value of an object of kind `snapshots`.
std::optional<service_snapshots> ParseSnapshots(const std::string& service,
                                                const std::string& text);

/// The value of an object of kind `roster`.
std::string FormatRoster(const roster& value);
std::optional<roster> ParseRoster(const std::string& data_centre,
                                  const std::string& text);

/// The value of an object of kind `order`.
std::string FormatOrder(const data_centre_order& value);
std::optional<data_centre_order> ParseOrder(const std::string& data_centre,
                                            const std::string& text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CONFIGURATION_CODEC_H_
