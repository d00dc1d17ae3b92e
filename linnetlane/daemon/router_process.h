// Runs a host of the router on the users' platform.

#ifndef LINNETLANE_DAEMON_ROUTER_PROCESS_H_
#define LINNETLANE_DAEMON_ROUTER_PROCESS_H_

#include <string>

namespace linnetlane::daemon {

// What to do with a settings file.
enum class router_mode { run, check_settings };

// Runs with the settings in `file` until SIGTERM; returns only a failure's exit code.
[[nodiscard]] auto run_router(std::string const& file, router_mode mode) -> int;

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ROUTER_PROCESS_H_
