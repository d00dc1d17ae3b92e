#include "linnetlane/ctl/all_commands.h"

#include "linnetlane/ctl/capacity_command.h"
#include "linnetlane/ctl/check_command.h"
#include "linnetlane/ctl/completion.h"
#include "linnetlane/ctl/explain_command.h"
#include "linnetlane/ctl/fleet_commands.h"
#include "linnetlane/ctl/service_commands.h"

namespace linnetlane::ctl {

namespace {

auto run_bash_completion(invocation const& run) -> exit_code {
    run.out() << bash_completion(all_commands());
    return exit_code::done;
}

auto completion_commands() -> std::vector<command> {
    return {{"completion bash",
             "",
             {},
             "Print a completion script for bash.",
             "Use: source <(linnetctl completion bash)\n",
             false,
             nullptr,
             run_bash_completion}};
}

}  // namespace

auto all_commands() -> std::vector<command> {
    auto commands = std::vector<command>{};
    for (auto const& group : {service_commands(), fleet_commands(), check_commands(),
                              capacity_commands(), explain_commands(), completion_commands()}) {
        commands.insert(commands.end(), group.begin(), group.end());
    }
    return commands;
}

}  // namespace linnetlane::ctl
