// Subcommands of `linnetctl`: their description, parsing of the command line, and execution.

#ifndef LINNETLANE_CTL_COMMAND_H_
#define LINNETLANE_CTL_COMMAND_H_

#include <functional>
#include <optional>
#include <ostream>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/program_options/options_description.hpp>
#include <boost/program_options/variables_map.hpp>

#include "linnetlane/ctl/exit_code.h"
#include "linnetlane/ctl/operator_client.h"
#include "linnetlane/routing/configuration_check.h"

namespace linnetlane::ctl {

// Output streams and network access of a subcommand; tests replace them.
struct command_context {
    std::ostream* out = nullptr;
    std::ostream* err = nullptr;
    // Returns the transport to a host.
    std::function<transport(base::endpoint const&)> connect;
    // Reads the text of a router's configuration; nothing if it is none.
    std::function<std::optional<routing::configuration_draft>(std::string_view)>
        read_configuration = {};
};

// The parsed command line of one run of a subcommand.
struct invocation {
    command_context context;
    // Positional arguments, in order.
    std::vector<std::string> arguments;
    boost::program_options::variables_map options;

    [[nodiscard]] auto out() const -> std::ostream& { return *this->context.out; }
    [[nodiscard]] auto err() const -> std::ostream& { return *this->context.err; }
    // Whether `--output json` was given.
    [[nodiscard]] auto wants_json() const -> bool;
    // Returns a client for the host that `--host` names, which must be a valid endpoint.
    [[nodiscard]] auto client() const -> operator_client;
};

using options_description = boost::program_options::options_description;

// The number of positional arguments that a subcommand takes; both bounds are inclusive.
struct argument_count {
    std::size_t min = 0;
    std::size_t max = 0;
};

struct command {
    // One or two words, such as `service apply`.
    std::string_view name;
    // Names of the positional arguments for the usage line, such as `FILE`.
    std::string_view arguments;
    argument_count count;
    // One line for the overview.
    std::string_view summary;
    // Further help text; each line ends with a line break.
    std::string_view details;
    // Whether it calls a host and therefore takes `--host`.
    bool calls_host = true;
    // Adds the options specific to this subcommand; may be null.
    void (*add_options)(options_description& options) = nullptr;
    exit_code (*run)(invocation const& run) = nullptr;
};

// Runs the subcommand that `words` names and returns its exit code. `words` is the command line
// without the program's name. Prints usage errors and help.
[[nodiscard]] auto run_command_line(std::span<command const> commands,
                                    std::vector<std::string> const& words,
                                    command_context const& context) -> exit_code;

// Prints `failure` with a suggested next step, and returns the matching exit code.
[[nodiscard]] auto report_failure(invocation const& run, call_failure const& failure) -> exit_code;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_COMMAND_H_
