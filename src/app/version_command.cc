#include <iostream>

#include "app/command.h"

namespace papayaglade {

exit_code RunVersion(std::vector<std::string>& /*arguments*/) {
  std::cout << "papayaglade " << kVersionText << "\n";
  return exit_code::kDone;
}

}  // namespace papayaglade
