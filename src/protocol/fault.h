#ifndef PAPAYAGLADE_PROTOCOL_FAULT_H_
#define PAPAYAGLADE_PROTOCOL_FAULT_H_

#include <string>
#include <vector>

namespace papayaglade {

/// An error in a JSON document, and how to correct it.
struct fault {
  /// Name of the file; empty for documents received over the network.
  std::string file;
  std::string pointer;  ///< JSON pointer (RFC 6901); empty: the root.
  std::string message;
  std::string remedy;
};

using fault_list = std::vector<fault>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_FAULT_H_
