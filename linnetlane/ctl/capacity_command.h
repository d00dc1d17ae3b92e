// The subcommand `capacity` of linnetctl.

#ifndef LINNETLANE_CTL_CAPACITY_COMMAND_H_
#define LINNETLANE_CTL_CAPACITY_COMMAND_H_

#include <vector>

#include "linnetlane/ctl/command.h"

namespace linnetlane::ctl {

// The subcommand, as a list to append to the others.
[[nodiscard]] auto capacity_commands() -> std::vector<command>;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_CAPACITY_COMMAND_H_
