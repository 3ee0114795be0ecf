#ifndef PAPAYAGLADE_STATE_ERROR_H_
#define PAPAYAGLADE_STATE_ERROR_H_

#include <string>

namespace papayaglade {

/// What went wrong, in the terms that decide what a caller may do next.
enum class error_kind {
  kInvalidInput,    ///< The input breaks a rule; the same input fails again.
  kTooLarge,        ///< A size or count is over its bound.
  kUnknownName,     ///< A name is not in the configuration in force.
  kNotRun,          ///< Proven: no upstream ran any part of the request.
  kOutcomeUnknown,  ///< The request may have run.
  kOverloaded,      ///< A bounded ring or queue is full.
  kUnavailable,     ///< A peer, upstream or the platform cannot be reached.
  kConflict,        ///< Another writer changed the object first.
  kDeadline,        ///< The time allowed has passed.
  kBelowCoverage,   ///< Fewer shards answered than the workload demands.
};

/// Returns the stable wire name of `kind`, such as "invalid_input".
const char* ErrorKindName(error_kind kind);

/// A typed error; `remedy` tells the reader what to change or do next.
struct error {
  error_kind kind = error_kind::kInvalidInput;
  std::string field;  ///< JSON pointer, header or flag at fault; may be empty.
  std::string message;
  std::string remedy;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_ERROR_H_
