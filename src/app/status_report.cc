#include "app/status_report.h"

#include <sstream>

namespace papayaglade {

namespace {

using nlohmann::json;

std::string FormatScalar(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// Formats an element of an array as one line of key=value pairs.
std::string FormatRow(const json& element) {
  if (!element.is_object()) return FormatScalar(element);
  std::string row;
  for (const auto& member : element.items()) {
    if (!row.empty()) row += "  ";
    row += member.key() + "=" + FormatScalar(member.value());
  }
  return row;
}

void WriteObject(std::ostream& out, const json& object,
                 const std::string& indent) {
  for (const auto& member : object.items()) {
    const json& value = member.value();
    out << indent << member.key() << ":";
    if (value.is_object()) {
      out << "\n";
      WriteObject(out, value, indent + "  ");
    } else if (value.is_array()) {
      out << (value.empty() ? " none\n" : "\n");
      for (const json& each : value) {
        out << indent << "  " << FormatRow(each) << "\n";
      }
    } else {
      out << " " << FormatScalar(value) << "\n";
    }
  }
}

}  // namespace

std::string ReportStatus(const nlohmann::json& status) {
  std::ostringstream out;
  WriteObject(out, status, "");
  return out.str();
}

}  // namespace papayaglade
