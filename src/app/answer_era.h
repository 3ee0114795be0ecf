#ifndef PAPAYAGLADE_APP_ANSWER_ERA_H_
#define PAPAYAGLADE_APP_ANSWER_ERA_H_

#include "coordination/store_era.h"
#include "protocol/store_format.h"
#include "transport/http_exchange_channel.h"

namespace papayaglade {

/// Takes over the era that an answer of the store names, if it is a newer one.
/// Returns whether it is an older one, so that the answer must not be used. A
/// call without an answer names none.
bool IsOfOlderEra(const http_exchange_channel::result& result,
                  const store_format& format, store_era& era);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ANSWER_ERA_H_
