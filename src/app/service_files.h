#ifndef PAPAYAGLADE_APP_SERVICE_FILES_H_
#define PAPAYAGLADE_APP_SERVICE_FILES_H_

#include <optional>
#include <string>
#include <vector>

#include "protocol/fault.h"
#include "state/configuration.h"

namespace papayaglade {

/// Returns the content of a file, or nothing if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

/// Reads all `*.papayaglade.json` files below `folders`, sorted by path, and
/// checks each file and the whole configuration. The result has no version yet,
/// and is valid only if no fault was added.
configuration CollectServices(const std::vector<std::string>& folders,
                              fault_list& faults);

/// Prints each fault with its file, JSON pointer, message and remedy: as JSON
/// on standard output if `json` is set, else as one line each on standard
/// error.
void PrintFaults(const fault_list& faults, bool json);

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_SERVICE_FILES_H_
