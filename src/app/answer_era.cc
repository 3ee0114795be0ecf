#include "app/answer_era.h"

namespace papayaglade {

bool IsOfOlderEra(const http_exchange_channel::result& result,
                  const store_format& format, store_era& era) {
  if (result.failure.has_value()) return false;
  return era.Observe(format.DecodeEra(result.message)) == era_relation::kOlder;
}

}  // namespace papayaglade
