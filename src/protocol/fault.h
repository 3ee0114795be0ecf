#ifndef PAPAYAGLADE_PROTOCOL_FAULT_H_
#define PAPAYAGLADE_PROTOCOL_FAULT_H_

#include <string>
#include <vector>

namespace papayaglade {

/// One thing wrong with a JSON document, and what to do about it.
struct fault {
  std::string file;     ///< Empty for documents that came over a port.
  std::string pointer;  ///< JSON pointer (RFC 6901); empty for the whole.
  std::string message;
  std::string remedy;
};

using fault_list = std::vector<fault>;

}  // namespace papayaglade

#endif  // PAPAYAGLADE_PROTOCOL_FAULT_H_
