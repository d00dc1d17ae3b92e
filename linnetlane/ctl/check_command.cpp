#include "linnetlane/ctl/check_command.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <string>

#include <fmt/format.h>
#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include "linnetlane/ctl/read_file.h"
#include "linnetlane/routing/configuration_check.h"

namespace linnetlane::ctl {

namespace {

namespace po = boost::program_options;

// Prints an error and returns nothing if the file holds no configuration.
auto load_draft(invocation const& run, std::string const& path)
    -> std::optional<routing::configuration_draft> {
    auto const text = read_file(path);
    if (!text) {
        run.err() << fmt::format("linnetctl: cannot read {}\n", path);
        return std::nullopt;
    }
    auto draft = run.context.read_configuration(*text);
    if (!draft) {
        run.err() << fmt::format(
            "linnetctl: {} is no configuration; hosts would keep the one in force.\n", path);
    }
    return draft;
}

// Returns nothing, and prints an error, unless each word is `SERVICE=COUNT`.
auto read_engines(invocation const& run)
    -> std::optional<decltype(routing::expected_use::engines)> {
    auto engines = decltype(routing::expected_use::engines){};
    if (run.options.count("engines") == 0) {
        return engines;
    }
    for (auto const& word : run.options["engines"].as<std::vector<std::string>>()) {
        auto const equals = word.find('=');
        auto const digits = equals == std::string::npos ? std::string{} : word.substr(equals + 1);
        auto count = std::size_t{0};
        auto const* const end = digits.data() + digits.size();
        auto const parsed = std::from_chars(digits.data(), end, count);
        if (digits.empty() || parsed.ec != std::errc{} || parsed.ptr != end) {
            run.err() << fmt::format("linnetctl: --engines must be SERVICE=COUNT, not `{}`\n",
                                     word);
            return std::nullopt;
        }
        engines[base::service_id{word.substr(0, equals)}] = count;
    }
    return engines;
}

auto word_of(routing::finding_severity severity) -> char const* {
    return severity == routing::finding_severity::error ? "error" : "warning";
}

auto word_of(routing::configuration_change_kind kind) -> char const* {
    switch (kind) {
        case routing::configuration_change_kind::added:
            return "added";
        case routing::configuration_change_kind::removed:
            return "removed";
        case routing::configuration_change_kind::changed:
            break;
    }
    return "changed";
}

auto sign_of(routing::configuration_change_kind kind) -> char {
    switch (kind) {
        case routing::configuration_change_kind::added:
            return '+';
        case routing::configuration_change_kind::removed:
            return '-';
        case routing::configuration_change_kind::changed:
            break;
    }
    return '~';
}

struct check_report {
    std::vector<routing::configuration_finding> findings;
    std::vector<routing::configuration_change> changes;
};

auto print_json(invocation const& run, check_report const& report) -> void {
    auto findings = nlohmann::json::array();
    for (auto const& each : report.findings) {
        findings.push_back(
            {{"severity", word_of(each.severity)}, {"where", each.where}, {"what", each.what}});
    }
    auto changes = nlohmann::json::array();
    for (auto const& each : report.changes) {
        changes.push_back(
            {{"kind", word_of(each.kind)}, {"where", each.where}, {"fields", each.fields}});
    }
    auto const text = nlohmann::json{{"findings", findings}, {"changes", changes}};
    run.out() << text.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
}

auto print_text(invocation const& run, check_report const& report) -> void {
    for (auto const& each : report.findings) {
        run.out() << fmt::format("{}: {}: {}\n", word_of(each.severity), each.where, each.what);
    }
    for (auto const& each : report.changes) {
        run.out() << fmt::format("{} {}{}{}\n", sign_of(each.kind), each.where,
                                 each.fields.empty() ? "" : ": ", fmt::join(each.fields, ", "));
    }
}

auto exit_code_of(std::vector<routing::configuration_finding> const& findings) -> exit_code {
    auto const has_error = std::ranges::any_of(findings, [](auto const& each) {
        return each.severity == routing::finding_severity::error;
    });
    if (has_error) {
        return exit_code::usage;
    }
    return findings.empty() ? exit_code::done : exit_code::warnings;
}

auto run_check(invocation const& run) -> exit_code {
    auto const engines = read_engines(run);
    auto const draft = engines ? load_draft(run, run.arguments.front()) : std::nullopt;
    if (!draft) {
        return exit_code::usage;
    }
    auto use = routing::expected_use{std::nullopt, *engines};
    if (run.options.count("largest-request") != 0) {
        use.largest_request = run.options["largest-request"].as<double>();
    }
    auto report = check_report{routing::check_configuration(*draft, use), {}};
    if (run.options.count("in-force") != 0) {
        auto const in_force = load_draft(run, run.options["in-force"].as<std::string>());
        if (!in_force) {
            return exit_code::usage;
        }
        if (auto late = routing::check_succession(in_force->read, draft->read)) {
            report.findings.push_back(*std::move(late));
        }
        report.changes = routing::compare_configurations(in_force->read, draft->read);
    }
    if (run.wants_json()) {
        print_json(run, report);
    } else {
        print_text(run, report);
    }
    return exit_code_of(report.findings);
}

auto add_options(options_description& options) -> void {
    options.add_options()("in-force", po::value<std::string>(),
                          "file with the configuration in force, to show what differs")(
        "largest-request", po::value<double>(), "tokens of the largest request, prompt and output")(
        "engines", po::value<std::vector<std::string>>(),
        "SERVICE=COUNT, the number of engines of a service; may be repeated");
}

}  // namespace

auto check_commands() -> std::vector<command> {
    return {{"check",
             "FILE",
             {1, 1},
             "Check a router's configuration without a host.",
             "Prints what can't be read, never matches or contradicts itself, and with --in-force "
             "what differs.\n`-` reads standard input. Keys are never printed.\n",
             false,
             add_options,
             run_check}};
}

}  // namespace linnetlane::ctl
