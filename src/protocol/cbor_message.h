#ifndef PAPAYAGLADE_PROTOCOL_CBOR_MESSAGE_H_
#define PAPAYAGLADE_PROTOCOL_CBOR_MESSAGE_H_

#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace papayaglade {

/// Encodes `message` as one CBOR document.
inline std::string EncodeCbor(const nlohmann::json& message) {
  std::string bytes;
  nlohmann::json::to_cbor(message, bytes);
  return bytes;
}

/// Decodes the CBOR array in `bytes` and returns what `decode` returns for it.
/// Returns an empty result if `bytes` is not a non-empty array or `decode`
/// throws a std::exception. `Result` is a std::optional.
template <typename Result, typename Decoder>
Result DecodeCborArray(const std::string& bytes, const Decoder& decode) {
  try {
    const nlohmann::json in = nlohmann::json::from_cbor(bytes, true, false);
    if (!in.is_array() || in.empty()) return Result();
    return decode(in);
  } catch (const std::exception&) {
    return Result();
  }
}

/// Converts a number to an enumerator. Throws std::out_of_range if it is
/// negative or greater than `last`.
template <typename Enum>
Enum DecodeEnum(const nlohmann::json& value, Enum last) {
  const int number = value.get<int>();
  if (number < 0 || number > static_cast<int>(last)) {
    throw std::out_of_range("enumerator");
  }
  return static_cast<Enum>(number);
}

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CBOR_MESSAGE_H_
