#ifndef PAPAYAGLADE_PROTOCOL_JSON_READER_H_
#define PAPAYAGLADE_PROTOCOL_JSON_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "protocol/fault.h"

namespace papayaglade {

/// The maximum nesting depth. Valid documents are never nested that deeply.
constexpr int kMaxJsonDepth = 16;

/// Parses `text`. Adds a fault and returns null if it is malformed or nested
/// deeper than kMaxJsonDepth.
nlohmann::json ParseJson(const std::string& text, fault_list& faults);

class json_reader;

/// Parses the JSON document `text` and returns what `read`, which takes a
/// json_reader&, returns for it. Adds every fault found, with the file name
/// `file`. The result is valid only if no fault is added.
template <typename Read>
auto ReadDocument(const std::string& file, const std::string& text,
                  fault_list& faults, Read read);

/// Reads the members of one JSON object and collects every fault found.
///
/// If the member is missing, a Required... function adds a fault, an
/// Optional... function returns `fallback`, and a Maybe... function returns
/// std::nullopt. A value that has a wrong type or is out of range adds a fault.
class json_reader {
 public:
  /// `value` and `faults` must outlive the reader.
  json_reader(const nlohmann::json& value, std::string pointer,
              fault_list& faults);

  std::string RequiredString(const std::string& key);
  std::string OptionalString(const std::string& key, std::string fallback);
  std::int64_t RequiredInteger(const std::string& key, std::int64_t min_value,
                               std::int64_t max_value);
  std::int64_t OptionalInteger(const std::string& key, std::int64_t fallback,
                               std::int64_t min_value, std::int64_t max_value);
  std::optional<std::int64_t> MaybeInteger(const std::string& key,
                                           std::int64_t min_value,
                                           std::int64_t max_value);
  std::optional<double> MaybeNumber(const std::string& key, double min_value,
                                    double max_value);
  double OptionalNumber(const std::string& key, double fallback,
                        double min_value, double max_value);
  /// Like OptionalInteger, for documents that were accepted elsewhere: null is
  /// like a missing member, a whole number may have a fraction of 0, and a
  /// number above `max_value` is read as `max_value`.
  std::int64_t IntegerUpTo(const std::string& key, std::int64_t fallback,
                           std::int64_t min_value, std::int64_t max_value);
  /// Likewise for OptionalNumber.
  double NumberUpTo(const std::string& key, double fallback, double min_value,
                    double max_value);
  bool OptionalBool(const std::string& key, bool fallback);
  /// Returns a reader of the object in member `key`, or of an empty object if
  /// the member is missing.
  json_reader Object(const std::string& key);
  /// Returns a reader of each element of the array in member `key`. The
  /// elements must be objects.
  std::vector<json_reader> Objects(const std::string& key);
  /// Returns the elements of the array in member `key`, which must be strings.
  std::vector<std::string> Strings(const std::string& key);

  bool Has(const std::string& key) const;
  /// Returns whether the member is present and not null.
  bool IsSet(const std::string& key) const;

  /// Adds a fault for each member that was never read.
  void RejectUnknownMembers();

  /// Adds a fault at member `key`, or at this object if `key` is empty.
  void AddFault(const std::string& key, std::string message,
                std::string remedy);

  const std::string& Pointer() const { return pointer_; }

 private:
  const nlohmann::json* Find(const std::string& key);
  std::string PointerTo(const std::string& key) const;

  const nlohmann::json* value_;
  std::string pointer_;
  fault_list* faults_;
  std::set<std::string> requested_keys_;
};

template <typename Read>
auto ReadDocument(const std::string& file, const std::string& text,
                  fault_list& faults, Read read) {
  fault_list document_faults;
  decltype(read(std::declval<json_reader&>())) result;
  const nlohmann::json document = ParseJson(text, document_faults);
  if (document_faults.empty()) {
    json_reader reader(document, "", document_faults);
    result = read(reader);
  }
  for (fault& each : document_faults) {
    each.file = file;
    faults.push_back(std::move(each));
  }
  return result;
}

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_JSON_READER_H_
