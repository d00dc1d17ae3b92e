// `linnetctl explain`: the timeline of one request, from the logs of hosts.

#ifndef LINNETLANE_CTL_EXPLAIN_COMMAND_H_
#define LINNETLANE_CTL_EXPLAIN_COMMAND_H_

#include <istream>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/ctl/command.h"

namespace linnetlane::ctl {

// One log line in the timeline of a request.
struct timeline_entry {
    // As logged. Sorting it as text orders lines by time if all hosts log in UTC.
    std::string time;
    std::string host;
    std::string event;
    // The other fields as ` name=value`, in the order of the log line.
    std::string details;
};

// Appends to `timeline` the lines of `log` (JSON lines) that concern `request`: those that carry
// its id, and those about the upstreams that they name. Skips lines that cannot be parsed.
auto collect_timeline(std::istream& log, std::string_view request,
                      std::vector<timeline_entry>& timeline) -> void;

[[nodiscard]] auto explain_commands() -> std::vector<command>;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_EXPLAIN_COMMAND_H_
