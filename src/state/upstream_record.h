#ifndef PAPAYAGLADE_STATE_UPSTREAM_RECORD_H_
#define PAPAYAGLADE_STATE_UPSTREAM_RECORD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "state/identity.h"

namespace papayaglade {

/// The entry of one upstream in service discovery, written by the upstream.
struct upstream_record {
  std::string id;
  std::string service;
  endpoint address;
  std::string data_centre;
  std::size_t slots = 1;  ///< Requests that it processes concurrently.
  bool leaving = false;   ///< It announced its shutdown.
  /// Time until the upstream is warm, counted from when this instance reads the
  /// entry.
  std::chrono::milliseconds warmup_remaining{0};
  std::int64_t start_time_ms = 0;  ///< Unix time; differs for each incarnation.
  /// Rises with each report of an incarnation.
  std::int64_t sequence = 0;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_UPSTREAM_RECORD_H_
