#include "app/status_report.h"

#include <sstream>

namespace papayaglade {

namespace {

using nlohmann::json;

std::string Scalar(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// One element of an array: its members as key=value on one line.
std::string Row(const json& element) {
  if (!element.is_object()) return Scalar(element);
  std::string row;
  for (const auto& member : element.items()) {
    if (!row.empty()) row += "  ";
    row += member.key() + "=" + Scalar(member.value());
  }
  return row;
}

void Write(std::ostream& out, const json& object, const std::string& indent) {
  for (const auto& member : object.items()) {
    const json& value = member.value();
    out << indent << member.key() << ":";
    if (value.is_object()) {
      out << "\n";
      Write(out, value, indent + "  ");
    } else if (value.is_array()) {
      out << (value.empty() ? " none\n" : "\n");
      for (const json& each : value) {
        out << indent << "  " << Row(each) << "\n";
      }
    } else {
      out << " " << Scalar(value) << "\n";
    }
  }
}

}  // namespace

std::string ReportStatus(const nlohmann::json& status) {
  std::ostringstream out;
  Write(out, status, "");
  return out.str();
}

}  // namespace papayaglade
