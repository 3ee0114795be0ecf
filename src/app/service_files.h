#ifndef PAPAYAGLADE_APP_SERVICE_FILES_H_
#define PAPAYAGLADE_APP_SERVICE_FILES_H_

#include <optional>
#include <string>
#include <vector>

#include "protocol/fault.h"
#include "state/configuration.h"

namespace papayaglade {

/// Reads a whole file; nothing when it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

/// Reads every `*.papayaglade.json` below `folders`, in order of their paths,
/// and checks them one by one and against each other. The configuration has
/// no version yet and is meaningful only when no fault was added.
configuration CollectServices(const std::vector<std::string>& folders,
                              fault_list& faults);

/// Writes one line a fault: file, pointer, what is wrong, remedy.
void PrintFaults(const fault_list& faults, bool json);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_SERVICE_FILES_H_
