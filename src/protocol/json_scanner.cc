#include "protocol/json_scanner.h"

#include <algorithm>

namespace papayaglade {

bool json_scanner::Enter(char bracket) {
  SkipSpace();
  if (!IsAt(bracket)) return false;
  ++position_;
  closing_ += bracket == '{' ? '}' : ']';
  first_ = true;
  return true;
}

bool json_scanner::Next() {
  if (failed_ || closing_.empty()) return false;
  SkipSpace();
  if (IsAt(closing_.back())) {
    ++position_;
    closing_.pop_back();
    first_ = false;
    return false;
  }
  if (!first_) {
    failed_ = !IsAt(',');
    ++position_;
  }
  first_ = false;
  return !failed_;
}

std::string_view json_scanner::Key() {
  SkipSpace();
  const std::size_t begin = position_;
  if (!IsAt('"')) {
    failed_ = true;
    return {};
  }
  SkipString();
  if (failed_) return {};
  const std::string_view key = text_.substr(begin + 1, position_ - begin - 2);
  SkipSpace();
  failed_ = !IsAt(':');
  ++position_;
  return key;
}

json_span json_scanner::Value() {
  SkipSpace();
  const std::size_t begin = position_;
  std::size_t depth = 0;
  std::size_t max_depth = 0;
  bool ended = false;
  while (!failed_ && !ended && position_ < text_.size()) {
    switch (text_[position_]) {
      case '"':
        SkipString();
        break;
      case '{':
      case '[':
        max_depth = std::max(max_depth, ++depth);
        ++position_;
        break;
      case '}':
      case ']':
        ended = depth <= 1;
        if (depth > 0) {
          --depth;
          ++position_;
        }
        break;
      case ',':
        ended = depth == 0;
        if (!ended) ++position_;
        break;
      default:
        ++position_;
    }
  }
  if (depth > 0 || position_ == begin) failed_ = true;
  if (failed_) return {};
  return {text_.substr(begin, position_ - begin), max_depth};
}

bool json_scanner::Finished() {
  SkipSpace();
  return !failed_ && closing_.empty() && position_ == text_.size();
}

void json_scanner::SkipSpace() {
  while (position_ < text_.size()) {
    const char c = text_[position_];
    if (c != ' ' && c != '\n' && c != '\r' && c != '\t') return;
    ++position_;
  }
}

void json_scanner::SkipString() {
  ++position_;
  while (position_ < text_.size()) {
    const char c = text_[position_];
    if (c == '"') {
      ++position_;
      return;
    }
    position_ += c == '\\' ? 2 : 1;
  }
  position_ = text_.size();
  failed_ = true;
}

}  // namespace papayaglade
