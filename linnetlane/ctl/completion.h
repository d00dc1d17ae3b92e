// Shell completion of linnetctl.

#ifndef LINNETLANE_CTL_COMPLETION_H_
#define LINNETLANE_CTL_COMPLETION_H_

#include <span>
#include <string>

#include "linnetlane/ctl/command.h"

namespace linnetlane::ctl {

// Returns a bash script that completes subcommand names, options and file names.
[[nodiscard]] auto bash_completion(std::span<command const> commands) -> std::string;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_COMPLETION_H_
