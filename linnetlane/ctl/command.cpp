#include "linnetlane/ctl/command.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <utility>

#include <fmt/format.h>
#include <boost/program_options/errors.hpp>
#include <boost/program_options/option.hpp>
#include <boost/program_options/parsers.hpp>
#include <boost/program_options/positional_options.hpp>
#include <boost/program_options/value_semantic.hpp>

#include "linnetlane/settings/text_values.h"

namespace linnetlane::ctl {

namespace {

namespace po = boost::program_options;

constexpr auto host_variable = "LINNETLANE_HOST";
constexpr auto exit_code_help = std::string_view{
    "Exit codes: 0 done, 1 refused by the host, 2 usage or invalid file, 3 conflict,\n"
    "4 no host answered, 5 outcome unknown, 6 not found, 7 differences found, 8 warnings.\n"};

auto default_host() -> std::string {
    auto const* const value = std::getenv(host_variable);
    return value == nullptr ? std::string{} : std::string{value};
}

auto options_of(command const& chosen) -> options_description {
    auto options = options_description{"Options"};
    options.add_options()("help,h", "show this help")(
        "output,o", po::value<std::string>()->default_value("table"), "table or json");
    if (chosen.calls_host) {
        options.add_options()("host", po::value<std::string>()->default_value(default_host()),
                              "operator address of any host, IP:PORT; also from LINNETLANE_HOST");
    }
    if (chosen.add_options != nullptr) {
        chosen.add_options(options);
    }
    return options;
}

auto print_help(command const& chosen, std::ostream& out) -> void {
    out << "Usage: linnetctl " << chosen.name;
    if (!chosen.arguments.empty()) {
        out << ' ' << chosen.arguments;
    }
    out << " [options]\n\n" << chosen.summary << '\n';
    if (!chosen.details.empty()) {
        out << '\n' << chosen.details;
    }
    out << '\n' << options_of(chosen) << '\n' << exit_code_help;
}

// Prints an overview of the subcommands whose names begin with `prefix`.
auto print_overview(std::span<command const> commands, std::string_view prefix, std::ostream& out)
    -> void {
    constexpr auto name_width = std::size_t{26};
    out << "Usage: linnetctl SUBCOMMAND [options]\n\n"
           "Manages and monitors a linnetlane deployment through any of its hosts.\n\n";
    for (auto const& entry : commands) {
        if (entry.name.substr(0, prefix.size()) == prefix) {
            auto const usage = fmt::format("{} {}", entry.name, entry.arguments);
            out << fmt::format("  {:<{}} {}\n", usage, name_width, entry.summary);
        }
    }
    out << "\nRun `linnetctl SUBCOMMAND --help` for details.\n" << exit_code_help;
}

// Finds the subcommand that the first word, or the first two words, of `words` name. Returns it
// with the number of words used.
auto find_command(std::span<command const> commands, std::vector<std::string> const& words)
    -> std::optional<std::pair<command const*, std::size_t>> {
    auto name = std::string{};
    for (auto count = std::size_t{0}; count < words.size() && count < 2; ++count) {
        name += (count == 0 ? "" : " ") + words[count];
        auto const found =
            std::find_if(commands.begin(), commands.end(),
                         [&name](command const& entry) { return entry.name == name; });
        if (found != commands.end()) {
            return std::pair{&*found, count + 1};
        }
    }
    return std::nullopt;
}

auto usage_error(command_context const& context, std::string_view problem, std::string_view next)
    -> exit_code {
    *context.err << "linnetctl: " << problem << "\n" << next << "\n";
    return exit_code::usage;
}

auto help_hint(command const& chosen) -> std::string {
    return fmt::format("Try `linnetctl {} --help`.", chosen.name);
}

// Parses the options and arguments in `words` into `run`. Throws `po::error` if they are invalid.
auto read_options(command const& chosen, std::vector<std::string> const& words, invocation& run)
    -> void {
    auto options = options_of(chosen);
    auto hidden = options_description{};
    hidden.add_options()("argument", po::value<std::vector<std::string>>());
    options.add(hidden);
    auto positions = po::positional_options_description{};
    positions.add("argument", -1);
    po::store(po::command_line_parser(words).options(options).positional(positions).run(),
              run.options);
    po::notify(run.options);
    if (run.options.count("argument") != 0) {
        run.arguments = run.options["argument"].as<std::vector<std::string>>();
    }
}

// Checks what Program_options does not: argument count and option values. Returns the first
// problem.
auto find_problem(command const& chosen, invocation const& run) -> std::optional<std::string> {
    auto const count = run.arguments.size();
    if (count < chosen.count.min || count > chosen.count.max) {
        return fmt::format("`{}` takes {}", chosen.name,
                           chosen.arguments.empty() ? "no arguments" : chosen.arguments);
    }
    auto const& output = run.options["output"].as<std::string>();
    if (output != "table" && output != "json") {
        return fmt::format("--output must be table or json, not `{}`", output);
    }
    if (!chosen.calls_host) {
        return std::nullopt;
    }
    auto const& host = run.options["host"].as<std::string>();
    if (host.empty()) {
        return "no host given: use --host IP:PORT or set LINNETLANE_HOST";
    }
    if (!settings::parse_endpoint(host)) {
        return fmt::format("`{}` is not an IP address with a port", host);
    }
    return std::nullopt;
}

auto run_command(command const& chosen, std::vector<std::string> const& words,
                 command_context const& context) -> exit_code {
    auto run = invocation{context, {}, {}};
    try {
        read_options(chosen, words, run);
    } catch (po::error const& error) {
        return usage_error(context, error.what(), help_hint(chosen));
    }
    if (run.options.count("help") != 0) {
        print_help(chosen, *context.out);
        return exit_code::done;
    }
    if (auto const problem = find_problem(chosen, run)) {
        return usage_error(context, *problem, help_hint(chosen));
    }
    return chosen.run(run);
}

auto is_help(std::string_view word) -> bool {
    return word == "--help" || word == "-h" || word == "help";
}

auto report_http_failure(invocation const& run, runtime::http_failure const& failure) -> exit_code {
    auto const& host = run.options["host"].as<std::string>();
    if (failure.send_state == runtime::send_state::not_sent) {
        run.err() << "linnetctl: cannot reach " << host
                  << "; nothing was sent.\nCheck that it is a host's operator address, or try "
                     "another host.\n";
        return exit_code::unreachable;
    }
    run.err() << "linnetctl: " << host
              << " did not answer completely; the outcome is unknown.\n"
                 "Check `linnetctl service history ID` through another host before you repeat "
                 "a change.\n";
    return exit_code::outcome_unknown;
}

auto next_step(api_error const& error) -> std::string {
    switch (error.type) {
        case api_failure::not_found:
            return "`linnetctl service list` shows the existing services.";
        case api_failure::conflict:
            return "Fetch it with `linnetctl service get`, make the change again, and apply the "
                   "result.";
        case api_failure::invalid_document:
            return "Correct the errors above; `linnetctl service check FILE` checks without "
                   "applying.";
        case api_failure::not_applied:
            return "Nothing was changed. Try again when the platform is reachable.";
        case api_failure::outcome_unknown:
            return "Check `linnetctl service history ID` before you repeat the change.";
        case api_failure::bad_request:
        case api_failure::method_not_allowed:
            break;
    }
    return "Check that linnetctl and the host have the same version.";
}

auto exit_code_of(api_failure failure) -> exit_code {
    switch (failure) {
        case api_failure::not_found:
            return exit_code::not_found;
        case api_failure::conflict:
            return exit_code::conflict;
        case api_failure::invalid_document:
            return exit_code::usage;
        case api_failure::outcome_unknown:
            return exit_code::outcome_unknown;
        case api_failure::bad_request:
        case api_failure::method_not_allowed:
        case api_failure::not_applied:
            break;
    }
    return exit_code::refused;
}

auto report_api_error(invocation const& run, api_error const& error) -> exit_code {
    run.err() << fmt::format("linnetctl: {}: {}\n", name_of(error.type), error.message);
    for (auto const& problem : error.problems) {
        run.err() << "  " << problem.message << '\n';
    }
    run.err() << next_step(error) << '\n';
    return exit_code_of(error.type);
}

}  // namespace

auto invocation::wants_json() const -> bool {
    return this->options["output"].as<std::string>() == "json";
}

auto invocation::client() const -> operator_client {
    auto const host = settings::parse_endpoint(this->options["host"].as<std::string>());
    return operator_client{this->context.connect(*host)};
}

auto run_command_line(std::span<command const> commands, std::vector<std::string> const& words,
                      command_context const& context) -> exit_code {
    if (words.empty() || is_help(words.front())) {
        print_overview(commands, "", words.empty() ? *context.err : *context.out);
        return words.empty() ? exit_code::usage : exit_code::done;
    }
    if (auto const found = find_command(commands, words)) {
        auto const& [chosen, used] = *found;
        auto const rest =
            std::vector(words.begin() + static_cast<std::ptrdiff_t>(used), words.end());
        return run_command(*chosen, rest, context);
    }
    auto const group = words.front() + " ";
    auto const is_group = std::any_of(
        commands.begin(), commands.end(),
        [&group](command const& entry) { return entry.name.substr(0, group.size()) == group; });
    if (is_group && (words.size() == 1 || is_help(words[1]))) {
        print_overview(commands, group, words.size() == 1 ? *context.err : *context.out);
        return words.size() == 1 ? exit_code::usage : exit_code::done;
    }
    return usage_error(context, fmt::format("unknown subcommand `{}`", fmt::join(words, " ")),
                       "Try `linnetctl --help`.");
}

auto report_failure(invocation const& run, call_failure const& failure) -> exit_code {
    return std::visit(
        base::overloaded{
            [&](runtime::http_failure const& http) { return report_http_failure(run, http); },
            [&](api_error const& error) { return report_api_error(run, error); },
            [&](message_failure const& malformed) {
                run.err() << "linnetctl: cannot parse the answer: " << malformed.detail
                          << "\nCheck that --host is a host's operator address.\n";
                return exit_code::refused;
            }},
        failure);
}

}  // namespace linnetlane::ctl
