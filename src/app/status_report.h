#ifndef PAPAYAGLADE_APP_STATUS_REPORT_H_
#define PAPAYAGLADE_APP_STATUS_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace papayaglade {

/// Formats the answer of `GET /status` as readable text: objects become
/// indented lines, and each element of an array becomes one line.
std::string ReportStatus(const nlohmann::json& status);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STATUS_REPORT_H_
