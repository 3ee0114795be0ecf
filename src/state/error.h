#ifndef PAPAYAGLADE_STATE_ERROR_H_
#define PAPAYAGLADE_STATE_ERROR_H_

#include <string>

namespace papayaglade {

/// Error categories. The category tells a caller what it may do next.
enum class error_kind {
  kInvalidInput,    ///< The input is invalid; a retry with it fails too.
  kTooLarge,        ///< A size or count exceeds its limit.
  kUnknownName,     ///< The configuration in force lacks a name.
  kNotRun,          ///< Proven that no upstream ran any part of it.
  kOutcomeUnknown,  ///< The request may have run.
  kOverloaded,      ///< A bounded ring or queue is full.
  kUnavailable,     ///< A peer, upstream or the platform cannot be reached.
  kConflict,        ///< Another writer changed the object first.
  kDeadline,        ///< The deadline has passed.
  kBelowCoverage,   ///< Fewer shards answered than the workload requires.
};

/// Returns the stable wire name of `kind`, such as "invalid_input".
const char* ErrorKindName(error_kind kind);

/// An error with its category. `remedy` says what to change or do next.
struct error {
  error_kind kind = error_kind::kInvalidInput;
  /// JSON pointer, header or flag that is wrong; may be empty.
  std::string field;
  std::string message;
  std::string remedy;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_ERROR_H_
