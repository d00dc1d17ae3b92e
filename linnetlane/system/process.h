// A child process of a system test, killed when its object is destroyed.
//
//   auto daemon = process::start({"linnetlaned", "--settings", path});
//   auto const callers = daemon.listen_address(0);
//   daemon.signal(SIGKILL);

#ifndef LINNETLANE_SYSTEM_PROCESS_H_
#define LINNETLANE_SYSTEM_PROCESS_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "linnetlane/base/endpoint.h"

namespace linnetlane::system {

// Thread-compatible. Its destructor kills and reaps the process.
class process {
public:
    // Starts the program at the path `command[0]` with the remaining elements as its arguments.
    // Throws `std::system_error` if it cannot be started.
    [[nodiscard]] static auto start(std::vector<std::string> const& command) -> process;

    process(process const&) = delete;
    auto operator=(process const&) -> process& = delete;
    process(process&& other) noexcept;
    auto operator=(process&& other) noexcept -> process&;
    ~process();

    // The address in the output line number `index`, counted from 0, of those that begin with
    // "listening". Waits for the line; throws `std::runtime_error` if the output ends or can't be
    // read before it.
    [[nodiscard]] auto listen_address(std::size_t index) -> base::endpoint;
    // Sends signal `number`, if the process has not been reaped.
    auto signal(int number) const -> void;
    // Waits until the process ends. Returns its exit status, or nothing if a signal ended it.
    auto wait() -> std::optional<int>;
    // Kills and reaps the process.
    auto kill() -> void;
    // Whether the process is still running; reaps it if it has ended.
    [[nodiscard]] auto running() -> bool;

private:
    process(pid_t started, int output);

    pid_t id = -1;
    int output_descriptor = -1;
    std::string unread;
    std::vector<base::endpoint> addresses;
    std::optional<int> status;
};

}  // namespace linnetlane::system

#endif  // LINNETLANE_SYSTEM_PROCESS_H_
