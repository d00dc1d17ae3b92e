// The subcommands `service ...` of linnetctl.

#ifndef LINNETLANE_CTL_SERVICE_COMMANDS_H_
#define LINNETLANE_CTL_SERVICE_COMMANDS_H_

#include <vector>

#include "linnetlane/ctl/command.h"

namespace linnetlane::ctl {

[[nodiscard]] auto service_commands() -> std::vector<command>;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_SERVICE_COMMANDS_H_
