#include <tclap/CmdLine.h>

#include <iostream>

#include "app/address_arguments.h"
#include "app/command.h"
#include "app/data_centre_order_writer.h"
#include "app/operator_call.h"
#include "app/platform_session.h"

namespace papayaglade {

namespace {

exit_code OrderThroughInstance(const endpoint& operators,
                               const std::string& name, bool out) {
  exit_code code = exit_code::kDone;
  const nlohmann::json order = {{"data_centre", name}, {"out", out}};
  const auto body =
      CallOperatorsPort(operators, {"POST", "/order", "", order.dump()}, code);
  if (!body.has_value()) return code;
  std::cout << body->dump() << "\n";
  if (body->value("accepted", true)) return exit_code::kDone;
  return exit_code::kConflict;
}

exit_code OrderThroughPlatform(const endpoint& platform,
                               const std::string& name, bool out) {
  platform_session session(platform);
  const auto given = data_centre_order_writer(session).Write(name, out);
  if (const auto* cause = std::get_if<error>(&given)) {
    std::cerr << cause->message << "; " << cause->remedy << "\n";
    return cause->kind == error_kind::kConflict ? exit_code::kConflict
                                                : exit_code::kUnknown;
  }
  const auto& order = std::get<data_centre_order>(given);
  std::cout << nlohmann::json({{"accepted", true},
                               {"data_centre", order.data_centre},
                               {"generation", order.generation},
                               {"out", order.out}})
                   .dump()
            << "\n";
  return exit_code::kDone;
}

}  // namespace

exit_code RunDataCentre(std::vector<std::string>& arguments) {
  TCLAP::CmdLine line(
      "Takes a data centre out of service or back in, through the platform or, "
      "while the platform is unavailable, through any instance.",
      ' ', kVersionText);
  const address_arguments platform(line, "platform", "the platform", false);
  const address_arguments operators(
      line, "operators", "the operators' port of any instance", false);
  std::vector<std::string> ways{"out", "in"};
  TCLAP::ValuesConstraint<std::string> either(ways);
  TCLAP::UnlabeledValueArg<std::string> way("way", "out or in", true, "out",
                                            &either, line);
  TCLAP::UnlabeledValueArg<std::string> name("name", "name of the data centre",
                                             true, "", "NAME", line);
  line.parse(arguments);
  if (platform.IsSet() == operators.IsSet()) {
    std::cerr << "the order needs exactly one destination; give either "
                 "--platform-port or --operators-port\n";
    return exit_code::kUsage;
  }
  const bool out = way.getValue() == "out";
  if (operators.IsSet()) {
    return OrderThroughInstance(operators.Value(), name.getValue(), out);
  }
  return OrderThroughPlatform(platform.Value(), name.getValue(), out);
}

}  // namespace papayaglade
