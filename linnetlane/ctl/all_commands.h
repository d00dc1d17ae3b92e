// The list of all subcommands of linnetctl.

#ifndef LINNETLANE_CTL_ALL_COMMANDS_H_
#define LINNETLANE_CTL_ALL_COMMANDS_H_

#include <vector>

#include "linnetlane/ctl/command.h"

namespace linnetlane::ctl {

// All subcommands, in the order in which the help lists them.
[[nodiscard]] auto all_commands() -> std::vector<command>;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_ALL_COMMANDS_H_
