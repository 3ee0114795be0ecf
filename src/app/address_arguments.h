#ifndef PAPAYAGLADE_APP_ADDRESS_ARGUMENTS_H_
#define PAPAYAGLADE_APP_ADDRESS_ARGUMENTS_H_

#include <tclap/CmdLine.h>

#include <string>

#include "state/identity.h"

namespace papayaglade {

/// The command line options `--NAME-address IP` and `--NAME-port PORT`.
class address_arguments {
 public:
  /// `meaning` describes the listener at this address in the help text.
  address_arguments(TCLAP::CmdLine& line, const std::string& name,
                    const std::string& meaning, bool required);

  bool IsSet() const;
  endpoint Value() const;

 private:
  TCLAP::ValueArg<std::string> address_;
  TCLAP::ValueArg<int> port_;
};

}  // namespace papayaglade

#endif  // PAPAYAGLADE_APP_ADDRESS_ARGUMENTS_H_
