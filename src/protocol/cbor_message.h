#ifndef PAPAYAGLADE_PROTOCOL_CBOR_MESSAGE_H_
#define PAPAYAGLADE_PROTOCOL_CBOR_MESSAGE_H_

#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace papayaglade {

/// One CBOR document.
inline std::string EncodeCbor(const nlohmann::json& message) {
  std::string bytes;
  nlohmann::json::to_cbor(message, bytes);
  return bytes;
}

/// What `decode` makes of the array in `bytes`; an empty result when they hold
/// no array or `decode` throws a std::exception. `Result` is an optional.
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

/// Throws std::out_of_range for a number that is no enumerator up to `last`.
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
