// linnetctl: the command line tool for operators and testers.

#include <iostream>
#include <string>
#include <vector>

#include "linnetlane/ctl/all_commands.h"
#include "linnetlane/ctl/command.h"
#include "platform/documents.h"

auto main(int count, char** values) -> int {
    using namespace linnetlane::ctl;
    auto const words = std::vector<std::string>{values + 1, values + count};
    auto const context = command_context{&std::cout, &std::cerr, http_transport,
                                         linnetlane::users_platform::read_draft};
    return static_cast<int>(run_command_line(all_commands(), words, context));
}
