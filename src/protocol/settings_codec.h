#ifndef PAPAYAGLADE_PROTOCOL_SETTINGS_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_SETTINGS_CODEC_H_

#include <string>

#include "protocol/fault.h"
#include "state/instance_settings.h"

namespace papayaglade {

/// Parses the settings file of one instance. `file` is the file name used in
/// faults. The result is valid only if no fault is added.
instance_settings ParseSettings(const std::string& file,
                                const std::string& text, fault_list& faults);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_SETTINGS_CODEC_H_
