#ifndef PAPAYAGLADE_PROTOCOL_ENTRY_SETTINGS_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_ENTRY_SETTINGS_CODEC_H_

#include <optional>
#include <string>

#include "protocol/fault.h"
#include "state/entry_settings.h"

namespace papayaglade {

/// Parses "ADDRESS:PORT", where ADDRESS is an IPv4 address. Returns
/// std::nullopt if `text` is malformed.
std::optional<endpoint> ParseEndpoint(const std::string& text);

/// Parses the settings file of an entry instance. Adds every fault found, with
/// the file name `file`. The result is valid only if no fault is added.
entry_settings ParseEntrySettings(const std::string& file,
                                  const std::string& text, fault_list& faults);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_ENTRY_SETTINGS_CODEC_H_
