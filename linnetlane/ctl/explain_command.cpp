#include "linnetlane/ctl/explain_command.h"

#include <algorithm>
#include <fstream>
#include <limits>
#include <set>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace linnetlane::ctl {

namespace {

using ordered_json = nlohmann::ordered_json;

auto text_of(ordered_json const& line, char const* name) -> std::string {
    auto const found = line.find(name);
    return found != line.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

auto is_prefix_field(std::string const& name) -> bool {
    return name == "time" || name == "host" || name == "event" || name == "level" ||
           name == "request";
}

auto to_timeline_entry(ordered_json const& line) -> timeline_entry {
    auto entry =
        timeline_entry{text_of(line, "time"), text_of(line, "host"), text_of(line, "event"), ""};
    for (auto const& [name, value] : line.items()) {
        if (!is_prefix_field(name)) {
            entry.details += fmt::format(" {}={}", name, value.dump());
        }
    }
    return entry;
}

auto run_explain(invocation const& run) -> exit_code {
    auto const& request = run.arguments.front();
    auto timeline = std::vector<timeline_entry>{};
    for (auto const& path : std::vector(run.arguments.begin() + 1, run.arguments.end())) {
        auto file = std::ifstream{path};
        if (!file) {
            run.err() << fmt::format("linnetctl: cannot read {}\n", path);
            return exit_code::usage;
        }
        collect_timeline(file, request, timeline);
    }
    std::ranges::stable_sort(timeline, {}, &timeline_entry::time);
    for (auto const& line : timeline) {
        run.out() << fmt::format("{} {} {}{}\n", line.time, line.host, line.event, line.details);
    }
    if (timeline.empty()) {
        run.err() << fmt::format("linnetctl: no log lines for request {}\n", request);
        return exit_code::not_found;
    }
    return exit_code::done;
}

}  // namespace

auto collect_timeline(std::istream& log, std::string_view request,
                      std::vector<timeline_entry>& timeline) -> void {
    auto upstream_lines = std::vector<ordered_json>{};
    auto serving_upstreams = std::set<std::string>{};
    auto text = std::string{};
    while (std::getline(log, text)) {
        // A log collector may have put a prefix, such as a timestamp, before the JSON object.
        auto const begin = text.find('{');
        auto line = begin == std::string::npos
                        ? ordered_json{}
                        : ordered_json::parse(text.substr(begin), nullptr, false);
        if (!line.is_object()) {
            continue;
        }
        if (text_of(line, "request") == request) {
            serving_upstreams.insert({text_of(line, "upstream"), text_of(line, "prefilled_at"),
                                      text_of(line, "decoded_at")});
            timeline.push_back(to_timeline_entry(line));
        } else if (!text_of(line, "upstream").empty() && text_of(line, "request").empty()) {
            upstream_lines.push_back(std::move(line));
        }
    }
    for (auto const& line : upstream_lines) {
        if (serving_upstreams.contains(text_of(line, "upstream"))) {
            timeline.push_back(to_timeline_entry(line));
        }
    }
}

auto explain_commands() -> std::vector<command> {
    return {
        {"explain",
         "REQUEST FILE...",
         {2, std::numeric_limits<std::size_t>::max()},
         "Print the timeline of one request from the logs of hosts.",
         "Reads the JSON lines in each FILE and prints, ordered by time, those about REQUEST and\n"
         "those about the upstreams that served it.\n",
         false,
         nullptr,
         run_explain}};
}

}  // namespace linnetlane::ctl
