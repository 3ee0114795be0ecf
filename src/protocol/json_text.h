#ifndef PAPAYAGLADE_PROTOCOL_JSON_TEXT_H_
#define PAPAYAGLADE_PROTOCOL_JSON_TEXT_H_

#include <string>

namespace papayaglade {

/// Appends `text` to `out` as a JSON string. Invalid UTF-8 is replaced.
void AppendJsonString(const std::string& text, std::string& out);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_JSON_TEXT_H_
