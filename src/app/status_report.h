#ifndef PAPAYAGLADE_APP_STATUS_REPORT_H_
#define PAPAYAGLADE_APP_STATUS_REPORT_H_

#include <nlohmann/json.hpp>
#include <string>

namespace papayaglade {

/// Formats the answer of `GET /status` for a person: objects become indented
/// lines, arrays of objects become one line an element.
std::string ReportStatus(const nlohmann::json& status);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_STATUS_REPORT_H_
