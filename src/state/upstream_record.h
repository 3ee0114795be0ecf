#ifndef PAPAYAGLADE_STATE_UPSTREAM_RECORD_H_
#define PAPAYAGLADE_STATE_UPSTREAM_RECORD_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

#include "state/identity.h"

namespace papayaglade {

/// What one upstream says of itself in service discovery.
struct upstream_record {
  std::string id;
  std::string service;
  endpoint address;
  std::string data_centre;
  std::size_t slots = 1;  ///< Requests it works on at a time.
  bool leaving = false;   ///< It announced that it will stop.
  std::chrono::milliseconds warmup_remaining{0};  ///< From when this was told.
  std::int64_t start_time_ms = 0;  ///< Unix ms; differs for each incarnation.
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_STATE_UPSTREAM_RECORD_H_
