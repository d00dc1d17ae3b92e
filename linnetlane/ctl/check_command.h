// `linnetctl check`: the findings in a router's configuration before it is sent.

#ifndef LINNETLANE_CTL_CHECK_COMMAND_H_
#define LINNETLANE_CTL_CHECK_COMMAND_H_

#include <vector>

#include "linnetlane/ctl/command.h"

namespace linnetlane::ctl {

[[nodiscard]] auto check_commands() -> std::vector<command>;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_CHECK_COMMAND_H_
