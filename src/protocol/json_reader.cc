#include "protocol/json_reader.h"

#include <cmath>
#include <utility>

namespace papayaglade {

namespace {

const nlohmann::json& EmptyObject() {
  static const nlohmann::json empty = nlohmann::json::object();
  return empty;
}

std::string RangeText(double min_value, double max_value) {
  return nlohmann::json(min_value).dump() + " to " +
         nlohmann::json(max_value).dump();
}

std::string RangeText(std::int64_t min_value, std::int64_t max_value) {
  return std::to_string(min_value) + " to " + std::to_string(max_value);
}

// Thrown from the parser's callback, which has no other way to stop the parser.
struct too_deep {};

bool CheckDepth(int depth, nlohmann::json::parse_event_t /*event*/,
                nlohmann::json& /*parsed*/) {
  if (depth > kMaxJsonDepth) throw too_deep{};
  return true;
}

}  // namespace

nlohmann::json ParseJson(const std::string& text, fault_list& faults) {
  try {
    return nlohmann::json::parse(text, CheckDepth);
  } catch (const too_deep&) {
    faults.push_back(
        {"", "", "the JSON is nested too deeply",
         "nest at most " + std::to_string(kMaxJsonDepth) + " levels"});
  } catch (const nlohmann::json::parse_error& e) {
    faults.push_back({"", "",
                      "malformed JSON at byte " + std::to_string(e.byte),
                      "mend the JSON syntax there"});
  } catch (const nlohmann::json::out_of_range&) {
    faults.push_back(
        {"", "", "a number is too large", "write numbers of at most 1e308"});
  }
  return nullptr;
}

json_reader::json_reader(const nlohmann::json& value, std::string pointer,
                         fault_list& faults)
    : value_(&value), pointer_(std::move(pointer)), faults_(&faults) {
  if (value_->is_object()) return;
  AddFault("", "not a JSON object", "write an object in braces here");
  value_ = &EmptyObject();
}

std::string json_reader::RequiredString(const std::string& key) {
  if (!Has(key)) {
    Find(key);
    AddFault(key, "missing", "add this member as a non-empty string");
    return "";
  }
  std::string text = OptionalString(key, "");
  if (text.empty() && value_->at(key).is_string()) {
    AddFault(key, "empty", "give a non-empty string");
  }
  return text;
}

std::string json_reader::OptionalString(const std::string& key,
                                        std::string fallback) {
  const nlohmann::json* member = Find(key);
  if (member == nullptr) return fallback;
  if (member->is_string()) return member->get<std::string>();
  AddFault(key, "not a string", "write a string in quotes");
  return fallback;
}

std::int64_t json_reader::RequiredInteger(const std::string& key,
                                          std::int64_t min_value,
                                          std::int64_t max_value) {
  if (!Has(key)) {
    Find(key);
    AddFault(key, "missing",
             "add this member as an integer from " +
                 RangeText(min_value, max_value));
    return min_value;
  }
  return OptionalInteger(key, min_value, min_value, max_value);
}

std::int64_t json_reader::OptionalInteger(const std::string& key,
                                          std::int64_t fallback,
                                          std::int64_t min_value,
                                          std::int64_t max_value) {
  return MaybeInteger(key, min_value, max_value).value_or(fallback);
}

std::optional<std::int64_t> json_reader::MaybeInteger(const std::string& key,
                                                      std::int64_t min_value,
                                                      std::int64_t max_value) {
  const nlohmann::json* member = Find(key);
  if (member == nullptr) return std::nullopt;
  const std::string remedy =
      "write an integer from " + RangeText(min_value, max_value);
  const bool too_large =
      member->is_number_unsigned() &&
      member->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
  if (!member->is_number_integer() || too_large) {
    AddFault(key, "not an integer in range", remedy);
    return std::nullopt;
  }
  const auto number = member->get<std::int64_t>();
  if (number < min_value || number > max_value) {
    AddFault(key, std::to_string(number) + " is out of range", remedy);
    return std::nullopt;
  }
  return number;
}

std::optional<double> json_reader::MaybeNumber(const std::string& key,
                                               double min_value,
                                               double max_value) {
  const nlohmann::json* member = Find(key);
  if (member == nullptr) return std::nullopt;
  const std::string remedy =
      "write a number from " + RangeText(min_value, max_value);
  if (!member->is_number()) {
    AddFault(key, "not a number", remedy);
    return std::nullopt;
  }
  const auto number = member->get<double>();
  // The comparisons are false for NaN.
  if (!(number >= min_value && number <= max_value)) {
    AddFault(key, member->dump() + " is out of range", remedy);
    return std::nullopt;
  }
  return number;
}

double json_reader::OptionalNumber(const std::string& key, double fallback,
                                   double min_value, double max_value) {
  return MaybeNumber(key, min_value, max_value).value_or(fallback);
}

std::int64_t json_reader::IntegerUpTo(const std::string& key,
                                      std::int64_t fallback,
                                      std::int64_t min_value,
                                      std::int64_t max_value) {
  const nlohmann::json* member = Find(key);
  if (!IsSet(key)) return fallback;
  if (member->is_number()) {
    const auto number = member->get<double>();
    if (number >= static_cast<double>(max_value)) return max_value;
    // Here the whole part of a number that is not too small can be an integer.
    const bool whole =
        member->is_number_float() && std::floor(number) == number;
    if (whole && number >= static_cast<double>(min_value))
      return static_cast<std::int64_t>(number);
  }
  return OptionalInteger(key, fallback, min_value, max_value);
}

double json_reader::NumberUpTo(const std::string& key, double fallback,
                               double min_value, double max_value) {
  const nlohmann::json* member = Find(key);
  if (!IsSet(key)) return fallback;
  if (member->is_number() && member->get<double>() >= max_value)
    return max_value;
  return OptionalNumber(key, fallback, min_value, max_value);
}

bool json_reader::OptionalBool(const std::string& key, bool fallback) {
  const nlohmann::json* member = Find(key);
  if (member == nullptr) return fallback;
  if (member->is_boolean()) return member->get<bool>();
  AddFault(key, "not a boolean", "write true or false");
  return fallback;
}

json_reader json_reader::Object(const std::string& key) {
  const nlohmann::json* member = Find(key);
  return json_reader(member == nullptr ? EmptyObject() : *member,
                     PointerTo(key), *faults_);
}

std::vector<json_reader> json_reader::Objects(const std::string& key) {
  std::vector<json_reader> readers;
  const nlohmann::json* member = Find(key);
  if (member == nullptr) return readers;
  if (!member->is_array()) {
    AddFault(key, "not an array", "write an array of objects");
    return readers;
  }
  for (std::size_t i = 0; i < member->size(); ++i) {
    readers.emplace_back((*member)[i], PointerTo(key) + "/" + std::to_string(i),
                         *faults_);
  }
  return readers;
}

std::vector<std::string> json_reader::Strings(const std::string& key) {
  std::vector<std::string> strings;
  const nlohmann::json* member = Find(key);
  if (member == nullptr) return strings;
  if (!member->is_array()) {
    AddFault(key, "not an array", "write an array of strings");
    return strings;
  }
  for (const nlohmann::json& element : *member) {
    if (element.is_string()) {
      strings.push_back(element.get<std::string>());
    } else {
      AddFault(key, "an element is not a string", "write strings in quotes");
    }
  }
  return strings;
}

bool json_reader::Has(const std::string& key) const {
  return value_->contains(key);
}

bool json_reader::IsSet(const std::string& key) const {
  return Has(key) && !value_->at(key).is_null();
}

void json_reader::RejectUnknownMembers() {
  for (const auto& member : value_->items()) {
    if (requested_keys_.count(member.key()) != 0) continue;
    AddFault(member.key(), "unknown member",
             "remove it or correct its spelling");
  }
}

void json_reader::AddFault(const std::string& key, std::string message,
                           std::string remedy) {
  faults_->push_back({"", key.empty() ? pointer_ : PointerTo(key),
                      std::move(message), std::move(remedy)});
}

const nlohmann::json* json_reader::Find(const std::string& key) {
  requested_keys_.insert(key);
  const auto found = value_->find(key);
  return found == value_->end() ? nullptr : &*found;
}

std::string json_reader::PointerTo(const std::string& key) const {
  std::string escaped;
  for (const char c : key) {
    if (c == '~') {
      escaped += "~0";
    } else if (c == '/') {
      escaped += "~1";
    } else {
      escaped += c;
    }
  }
  return pointer_ + "/" + escaped;
}

}  // namespace papayaglade
