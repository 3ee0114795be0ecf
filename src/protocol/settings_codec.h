#ifndef PAPAYAGLADE_PROTOCOL_SETTINGS_CODEC_H_
#define PAPAYAGLADE_PROTOCOL_SETTINGS_CODEC_H_

#include <string>

#include "protocol/fault.h"
#include "state/instance_settings.h"

namespace papayaglade {

/// Reads the settings file of one instance; `file` names it in faults. The
/// result is meaningful only when no fault was added.
instance_settings ParseSettings(const std::string& file,
                                const std::string& text, fault_list& faults);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_SETTINGS_CODEC_H_
