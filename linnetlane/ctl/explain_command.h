// `linnetctl explain`: the story of one request, from the logs of hosts.

#ifndef LINNETLANE_CTL_EXPLAIN_COMMAND_H_
#define LINNETLANE_CTL_EXPLAIN_COMMAND_H_

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/ctl/command.h"

namespace linnetlane::ctl {

// A log line that belongs to the story of a request.
struct story_line {
    // As written; lines of hosts in UTC sort by it.
    std::string time;
    std::string host;
    std::string event;
    // The other fields, as `name=value`, in the order of the line.
    std::string details;
};

// Adds what `log`, in JSON lines, has on `request`: its own lines, and the changes of upstreams
// that they name. Lines that can't be read are left out.
auto collect_story(std::istream& log, std::string_view request, std::vector<story_line>& story)
    -> void;

[[nodiscard]] auto explain_commands() -> std::vector<command>;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_EXPLAIN_COMMAND_H_
