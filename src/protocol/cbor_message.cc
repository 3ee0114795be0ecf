#include "protocol/cbor_message.h"

#include <vector>

namespace papayaglade {

namespace {

using nlohmann::json;

// Valid messages and objects are nested far less.
constexpr std::size_t kMaxCborDepth = 64;

// Major types and additional information of RFC 8949.
enum class major_type {
  kUnsigned,
  kNegative,
  kBytes,
  kText,
  kArray,
  kMap,
  kTag,
  kSimple
};
constexpr unsigned kInformationBits = 5;
constexpr unsigned kInformationMask = 31;
constexpr unsigned kOneByteLength = 24;
constexpr unsigned kEightByteLength = 27;
constexpr unsigned kIndefinite = 31;
constexpr unsigned kByteBits = 8;

// Measures the nesting of a CBOR document. Text that the decoder would reject
// ends the measurement, because the decoder does not read beyond it.
class depth_check {
 public:
  explicit depth_check(const std::string& bytes) : bytes_(bytes) {}

  bool IsBounded() {
    do {
      if (!ReadItem()) return true;
      if (items_left_.size() > kMaxCborDepth) return false;
    } while (!items_left_.empty());
    return true;
  }

 private:
  static constexpr std::uint64_t kUntilBreak = UINT64_MAX;

  // Reads the head of one item and skips its content, unless it is a
  // container. Returns false at the end of what can be decoded.
  bool ReadItem() {
    if (position_ >= bytes_.size()) return false;
    const auto head = static_cast<unsigned char>(bytes_[position_++]);
    const auto type = static_cast<major_type>(head >> kInformationBits);
    const unsigned information = head & kInformationMask;
    if (information == kIndefinite) return ReadIndefinite(type);
    std::uint64_t value = information;
    if (information >= kOneByteLength && !ReadValue(information, value)) {
      return false;
    }
    switch (type) {
      case major_type::kBytes:
      case major_type::kText:
        if (value > bytes_.size() - position_) return false;
        position_ += value;
        break;
      case major_type::kArray:
        return Open(value);
      case major_type::kMap:
        return value <= bytes_.size() && Open(2 * value);
      case major_type::kTag:
        return false;
      default:
        break;
    }
    CloseCompleted();
    return true;
  }

  // Strings of indefinite length consist of further strings, so they count as
  // containers.
  bool ReadIndefinite(major_type type) {
    switch (type) {
      case major_type::kSimple:
        if (items_left_.empty() || items_left_.back() != kUntilBreak) {
          return false;
        }
        items_left_.pop_back();
        CloseCompleted();
        return true;
      case major_type::kBytes:
      case major_type::kText:
      case major_type::kArray:
      case major_type::kMap:
        items_left_.push_back(kUntilBreak);
        return true;
      default:
        return false;
    }
  }

  bool ReadValue(unsigned information, std::uint64_t& value) {
    if (information > kEightByteLength) return false;
    const std::size_t length = std::size_t{1} << (information - kOneByteLength);
    if (length > bytes_.size() - position_) return false;
    value = 0;
    for (std::size_t i = 0; i < length; ++i) {
      value =
          value << kByteBits | static_cast<unsigned char>(bytes_[position_++]);
    }
    return true;
  }

  bool Open(std::uint64_t items) {
    if (items > bytes_.size()) return false;
    if (items == 0) {
      CloseCompleted();
    } else {
      items_left_.push_back(items);
    }
    return true;
  }

  // Counts a complete item in its container, which may be complete by that.
  void CloseCompleted() {
    while (!items_left_.empty() && items_left_.back() != kUntilBreak) {
      if (--items_left_.back() > 0) return;
      items_left_.pop_back();
    }
  }

  const std::string& bytes_;
  std::size_t position_ = 0;
  // Items that are still to be read, for each open container.
  std::vector<std::uint64_t> items_left_;
};

}  // namespace

std::string EncodeCbor(const json& message) {
  std::string bytes;
  json::to_cbor(message, bytes);
  return bytes;
}

bool ReadCbor(const std::string& bytes, nlohmann::json_sax<json>& events) {
  return depth_check(bytes).IsBounded() &&
         json::sax_parse(bytes, &events, json::input_format_t::cbor);
}

std::optional<json> DecodeCbor(const std::string& bytes) {
  // The decoder recurses once for each level.
  if (!depth_check(bytes).IsBounded()) return std::nullopt;
  try {
    return json::from_cbor(bytes);
  } catch (const json::exception&) {
    return std::nullopt;
  }
}

}  // namespace papayaglade
