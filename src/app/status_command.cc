#include <tclap/CmdLine.h>

#include <iostream>

#include "app/address_arguments.h"
#include "app/command.h"
#include "app/operator_call.h"
#include "app/status_report.h"

namespace papayaglade {

exit_code RunStatus(std::vector<std::string>& arguments) {
  TCLAP::CmdLine line(
      "Shows the state of an instance: its data centre, the stewards of the "
      "upstreams, and what is cold, out, leaving or stale.",
      ' ', kVersionText);
  const address_arguments operators(
      line, "operators", "the operators' port of the instance", true);
  TCLAP::SwitchArg json("", "json", "print everything as JSON", line);
  line.parse(arguments);
  exit_code code = exit_code::kDone;
  const auto body =
      CallOperatorsPort(operators.Value(), {"GET", "/status", "", ""}, code);
  if (!body.has_value()) return code;
  std::cout << (json.getValue() ? body->dump() + "\n" : ReportStatus(*body));
  return exit_code::kDone;
}

}  // namespace papayaglade
