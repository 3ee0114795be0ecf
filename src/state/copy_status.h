#ifndef PAPAYAGLADE_STATE_COPY_STATUS_H_
#define PAPAYAGLADE_STATE_COPY_STATUS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "state/store_position.h"

namespace papayaglade {

/// What an instance knows of its copy of the store's objects of one kind.
struct copy_status {
  store_position at;
  /// How long ago the copy was known to be that of the store, or of the
  /// watching instance that this one follows; empty if it never was.
  std::optional<std::chrono::milliseconds> confirmed_age;
  /// The instance from which the latest page came; empty if it was the store.
  std::string source;
};

/// A configuration that the copy holds, or held, and that is not in force.
struct unapplied_configuration {
  const char* why = "";       ///< For the log; "" if there is none.
  std::int64_t version = -1;  ///< -1 if it could not be read.
};

/// What an instance knows of the state that its requests go by.
struct state_status {
  /// How long ago the store answered anything.
  std::chrono::milliseconds answer_age{-1};
  copy_status configuration;
  unapplied_configuration unapplied;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_COPY_STATUS_H_
