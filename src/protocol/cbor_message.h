#ifndef PAPAYAGLADE_PROTOCOL_CBOR_MESSAGE_H_
#define PAPAYAGLADE_PROTOCOL_CBOR_MESSAGE_H_

#include <cstdint>
#include <exception>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace papayaglade {

/// Encodes `message` as one CBOR document.
std::string EncodeCbor(const nlohmann::json& message);

/// Decodes the CBOR document in `bytes`. Returns std::nullopt if it is
/// malformed or nested too deeply.
std::optional<nlohmann::json> DecodeCbor(const std::string& bytes);

/// Reads the CBOR document in `bytes` and calls `events` for each value.
/// Returns false if the document is malformed or nested too deeply, or if a
/// call returns false.
bool ReadCbor(const std::string& bytes,
              nlohmann::json_sax<nlohmann::json>& events);

/// Decodes the CBOR array in `bytes` and returns what `decode` returns for it.
/// Returns an empty result if `bytes` is not a non-empty array or `decode`
/// throws a std::exception. `Result` is a std::optional.
template <typename Result, typename Decoder>
Result DecodeCborArray(const std::string& bytes, const Decoder& decode) {
  try {
    const std::optional<nlohmann::json> in = DecodeCbor(bytes);
    if (!in.has_value() || !in->is_array() || in->empty()) return Result();
    return decode(*in);
  } catch (const std::exception&) {
    return Result();
  }
}

/// Returns `value` as an integer. Throws std::out_of_range if it is not an
/// integer or not in the range of `Integer`.
template <typename Integer>
Integer DecodeInteger(const nlohmann::json& value) {
  using limits = std::numeric_limits<Integer>;
  bool fits = false;
  if (value.is_number_unsigned()) {
    fits =
        value.get<std::uint64_t>() <= static_cast<std::uint64_t>(limits::max());
  } else if (value.is_number_integer()) {
    const auto number = value.get<std::int64_t>();
    if constexpr (limits::is_signed) {
      fits = number >= limits::min() && number <= limits::max();
    } else {
      fits = number >= 0 && static_cast<std::uint64_t>(number) <=
                                static_cast<std::uint64_t>(limits::max());
    }
  }
  if (!fits) throw std::out_of_range("integer");
  return value.get<Integer>();
}

/// Converts a number to an enumerator. Throws std::out_of_range if it is
/// negative or greater than `last`.
template <typename Enum>
Enum DecodeEnum(const nlohmann::json& value, Enum last) {
  const int number = DecodeInteger<int>(value);
  if (number < 0 || number > static_cast<int>(last)) {
    throw std::out_of_range("enumerator");
  }
  return static_cast<Enum>(number);
}

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_CBOR_MESSAGE_H_
