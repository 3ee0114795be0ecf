#ifndef PAPAYAGLADE_PROTOCOL_UPSTREAM_ANSWER_READER_H_
#define PAPAYAGLADE_PROTOCOL_UPSTREAM_ANSWER_READER_H_

#include <string>

#include "state/upstream_messages.h"

namespace papayaglade {

/// Reads an upstream's answer without building a document of it; the code
/// is kMalformed when the text breaks the format.
upstream_reply ReadUpstreamAnswer(const std::string& text);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_UPSTREAM_ANSWER_READER_H_
