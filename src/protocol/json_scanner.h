#ifndef PAPAYAGLADE_PROTOCOL_JSON_SCANNER_H_
#define PAPAYAGLADE_PROTOCOL_JSON_SCANNER_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace papayaglade {

/// The text of one JSON value.
struct json_span {
  std::string_view text;
  std::size_t depth = 0;  ///< Number of brackets that are open at most.
};

/// Splits JSON text into members and elements without parsing their values.
/// Only brackets and quotes are examined, so a value that is malformed
/// otherwise does not affect the others. Nesting takes no stack.
class json_scanner {
 public:
  /// `text` must outlive the scanner.
  explicit json_scanner(std::string_view text) : text_(text) {}

  /// Enters the object ('{') or array ('[') at the current position. Returns
  /// false if there is another value.
  bool Enter(char bracket);
  /// Moves to the next member or element of what was entered last. Returns
  /// false, and leaves it, at its end. Returns false for malformed text too.
  bool Next();
  /// Returns the key of the current member, with its escapes, and moves to its
  /// value.
  std::string_view Key();
  /// Returns the current value and moves past it.
  json_span Value();

  /// Returns whether the text was well-formed and has been read completely.
  bool Finished();

 private:
  void SkipSpace();
  /// Moves past the string that begins here.
  void SkipString();
  bool IsAt(char expected) const {
    return position_ < text_.size() && text_[position_] == expected;
  }

  std::string_view text_;
  std::size_t position_ = 0;
  std::string closing_;  ///< Closing brackets of what was entered.
  bool first_ = false;   ///< No member or element was read since Enter.
  bool failed_ = false;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_JSON_SCANNER_H_
