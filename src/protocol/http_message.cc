#include "protocol/http_message.h"

#include <cctype>

namespace papayaglade {

std::string EscapeTarget(const std::string& text) {
  constexpr char kHexDigits[] = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.') {
      escaped += c;
      continue;
    }
    escaped += '%';
    escaped += kHexDigits[byte >> 4U];
    escaped += kHexDigits[byte & 15U];
  }
  return escaped;
}

}  // namespace papayaglade
