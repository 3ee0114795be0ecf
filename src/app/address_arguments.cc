#include "app/address_arguments.h"

namespace papayaglade {

address_arguments::address_arguments(TCLAP::CmdLine& line,
                                     const std::string& name,
                                     const std::string& meaning, bool required)
    : address_("", name + "-address", "IP address of " + meaning, required,
               "127.0.0.1", "IP", line),
      port_("", name + "-port", "TCP port of " + meaning, required, 0, "PORT",
            line) {}

bool address_arguments::IsSet() const { return port_.isSet(); }

endpoint address_arguments::Value() const {
  return {address_.getValue(), static_cast<std::uint16_t>(port_.getValue())};
}

}  // namespace papayaglade
