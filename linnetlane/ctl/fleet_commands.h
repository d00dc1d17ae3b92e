// The subcommands of linnetctl that show hosts, upstreams and requests.

#ifndef LINNETLANE_CTL_FLEET_COMMANDS_H_
#define LINNETLANE_CTL_FLEET_COMMANDS_H_

#include <vector>

#include "linnetlane/ctl/command.h"

namespace linnetlane::ctl {

[[nodiscard]] auto fleet_commands() -> std::vector<command>;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_FLEET_COMMANDS_H_
