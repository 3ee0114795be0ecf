#include "protocol/json_text.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace papayaglade {

namespace {

constexpr unsigned char kFirstPrintable = 0x20;
constexpr unsigned char kFirstNonAscii = 0x7f;

bool NeedsNoEscape(char each) {
  const auto byte = static_cast<unsigned char>(each);
  return byte >= kFirstPrintable && byte < kFirstNonAscii && each != '"' &&
         each != '\\';
}

}  // namespace

void AppendJsonString(const std::string& text, std::string& out) {
  if (std::all_of(text.begin(), text.end(), NeedsNoEscape)) {
    out += '"';
    out += text;
    out += '"';
    return;
  }
  using nlohmann::json;
  out += json(text).dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace papayaglade
