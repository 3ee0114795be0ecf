#ifndef PAPAYAGLADE_PROTOCOL_UPSTREAM_ANSWER_READER_H_
#define PAPAYAGLADE_PROTOCOL_UPSTREAM_ANSWER_READER_H_

#include <string>

#include "state/upstream_messages.h"

namespace papayaglade {

/// Parses an upstream's answer without building a JSON document. The reply code
/// is kMalformed if `text` is malformed.
upstream_reply ReadUpstreamAnswer(const std::string& text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_UPSTREAM_ANSWER_READER_H_
