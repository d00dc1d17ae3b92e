// Runs a host of the router on the users' platform.

#ifndef LINNETLANE_DAEMON_ROUTER_PROCESS_H_
#define LINNETLANE_DAEMON_ROUTER_PROCESS_H_

#include <string>

namespace linnetlane::daemon {

// Whether to run with a settings file or only to check it.
enum class router_mode { run, check_settings };

// Runs with the settings in `file` until SIGTERM, which ends the process. Returns the exit code of
// a failed start or of a check.
[[nodiscard]] auto run_router(std::string const& file, router_mode mode) -> int;

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ROUTER_PROCESS_H_
