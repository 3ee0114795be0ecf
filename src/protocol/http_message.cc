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

std::string UnescapeTarget(const std::string& text) {
  constexpr std::size_t kEscapeLength = 3;
  constexpr int kHexBase = 16;
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool escape =
        text[i] == '%' && i + 2 < text.size() &&
        std::isxdigit(static_cast<unsigned char>(text[i + 1])) != 0 &&
        std::isxdigit(static_cast<unsigned char>(text[i + 2])) != 0;
    if (!escape) {
      plain += text[i];
      continue;
    }
    plain +=
        static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, kHexBase));
    i += kEscapeLength - 1;
  }
  return plain;
}

}  // namespace papayaglade
