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

auto is_heading(std::string const& name) -> bool {
    return name == "time" || name == "host" || name == "event" || name == "level" ||
           name == "request";
}

auto to_story_line(ordered_json const& line) -> story_line {
    auto read =
        story_line{text_of(line, "time"), text_of(line, "host"), text_of(line, "event"), ""};
    for (auto const& [name, value] : line.items()) {
        if (!is_heading(name)) {
            read.details += fmt::format(" {}={}", name, value.dump());
        }
    }
    return read;
}

auto run_explain(invocation const& run) -> exit_code {
    auto const& request = run.arguments.front();
    auto story = std::vector<story_line>{};
    for (auto const& path : std::vector(run.arguments.begin() + 1, run.arguments.end())) {
        auto file = std::ifstream{path};
        if (!file) {
            run.err() << fmt::format("linnetctl: {} can't be read\n", path);
            return exit_code::usage;
        }
        collect_story(file, request, story);
    }
    std::ranges::stable_sort(story, {}, &story_line::time);
    for (auto const& line : story) {
        run.out() << fmt::format("{} {} {}{}\n", line.time, line.host, line.event, line.details);
    }
    if (story.empty()) {
        run.err() << fmt::format("linnetctl: no line on request {}\n", request);
        return exit_code::not_found;
    }
    return exit_code::done;
}

}  // namespace

auto collect_story(std::istream& log, std::string_view request, std::vector<story_line>& story)
    -> void {
    auto about_upstreams = std::vector<ordered_json>{};
    auto named = std::set<std::string>{};
    auto text = std::string{};
    while (std::getline(log, text)) {
        // A line may have a prefix, such as the time at which it was collected.
        auto const begin = text.find('{');
        auto line = begin == std::string::npos
                        ? ordered_json{}
                        : ordered_json::parse(text.substr(begin), nullptr, false);
        if (!line.is_object()) {
            continue;
        }
        if (text_of(line, "request") == request) {
            named.insert({text_of(line, "upstream"), text_of(line, "prefilled_at"),
                          text_of(line, "decoded_at")});
            story.push_back(to_story_line(line));
        } else if (!text_of(line, "upstream").empty() && text_of(line, "request").empty()) {
            about_upstreams.push_back(std::move(line));
        }
    }
    for (auto const& line : about_upstreams) {
        if (named.contains(text_of(line, "upstream"))) {
            story.push_back(to_story_line(line));
        }
    }
}

auto explain_commands() -> std::vector<command> {
    return {
        {"explain",
         "REQUEST FILE...",
         {2, std::numeric_limits<std::size_t>::max()},
         "Print the story of one request from the logs of hosts.",
         "Reads the JSON lines in each FILE and prints those on REQUEST, and the changes of the\n"
         "upstreams that served it, in order of time.\n",
         false,
         nullptr,
         run_explain}};
}

}  // namespace linnetlane::ctl
