#include "linnetlane/ctl/capacity_command.h"

#include <array>
#include <fstream>
#include <iterator>
#include <optional>
#include <string>

#include <fmt/format.h>
#include <boost/program_options/value_semantic.hpp>
#include <nlohmann/json.hpp>

#include "linnetlane/ctl/capacity.h"
#include "linnetlane/ctl/table.h"

namespace linnetlane::ctl {

namespace {

namespace po = boost::program_options;

constexpr auto percent = 100.0;
constexpr auto kilobyte = 1e3;
constexpr auto megabyte = 1e6;

struct size_option {
    char const* name;
    double deployment_size::*member;
    char const* help;
};

constexpr auto size_options = std::array{
    size_option{"hosts", &deployment_size::hosts, "entry hosts"},
    size_option{"upstreams", &deployment_size::upstreams, "engines and other upstreams"},
    size_option{"data-centres", &deployment_size::data_centres, "data centres"},
    size_option{"services", &deployment_size::services, "services"},
    size_option{"callers", &deployment_size::callers, "callers (client accounts) of each service"},
    size_option{"requests", &deployment_size::requests_per_second, "requests per second"},
    size_option{"tokens", &deployment_size::output_tokens_per_second, "output tokens per second"},
    size_option{"token-interval", &deployment_size::seconds_between_tokens,
                "seconds between two output tokens"},
    size_option{"changes", &deployment_size::changes_per_day, "document changes per day"},
    size_option{"failures", &deployment_size::hosts_failing_per_day, "host failures per day"},
    size_option{"restarts", &deployment_size::hosts_restarted_per_day, "host restarts per day"},
    size_option{"keyed-share", &deployment_size::keyed_share,
                "fraction of requests with an idempotency key"},
    size_option{"cell", &deployment_size::upstreams_per_cell, "mean number of upstreams per cell"},
};

auto add_options(options_description& options) -> void {
    auto add = options.add_options();
    add("slopes", po::value<std::string>()->default_value("docs/slopes.toml"),
        "file with the slopes (costs per unit of work)");
    for (auto const& option : size_options) {
        add(option.name, po::value<double>()->default_value(deployment_size{}.*option.member),
            option.help);
    }
}

// Returns the size given by the options. Prints an error and returns nothing if a value that must
// be positive is not; `keyed_share` is not checked.
auto read_deployment_size(invocation const& run) -> std::optional<deployment_size> {
    auto size = deployment_size{};
    for (auto const& option : size_options) {
        auto const value = run.options[option.name].as<double>();
        if (!(value > 0) && option.member != &deployment_size::keyed_share) {
            run.err() << fmt::format("linnetctl: --{} must be greater than 0\n", option.name);
            return std::nullopt;
        }
        size.*option.member = value;
    }
    return size;
}

// Reads the file that `--slopes` names. Prints its errors and returns nothing on failure.
auto load_slopes(invocation const& run) -> std::optional<slope_table> {
    auto const path = run.options["slopes"].as<std::string>();
    auto file = std::ifstream{path, std::ios::binary};
    if (!file.is_open()) {
        run.err() << fmt::format(
            "linnetctl: cannot read {}\nRun the command in the checkout, or give the file with "
            "--slopes.\n",
            path);
        return std::nullopt;
    }
    auto const parsed = parse_slopes(std::string{std::istreambuf_iterator<char>{file}, {}});
    if (auto const* problems = base::failure_of(parsed)) {
        for (auto const& problem : *problems) {
            run.err() << fmt::format("{}:{}: {}: {}\n", path, problem.line, problem.key,
                                     settings::describe(problem.fault));
        }
        return std::nullopt;
    }
    return base::value_of(parsed);
}

// Returns `met` or `missed`, followed by `(estimate)` if any slope in `used` is unmeasured.
auto budget_result(double value, double limit, std::vector<slope> const& used,
                   slope_table const& slopes) -> std::string {
    auto const* const word = value <= limit ? "met" : "missed";
    return unmeasured_slopes(used, slopes).empty() ? word : fmt::format("{} (estimate)", word);
}

auto term_row(control_term const& term, slope_table const& slopes) -> std::vector<std::string> {
    return {std::string{term.role},
            std::string{term.name},
            fmt::format("{:.1f}", term.messages_per_second),
            fmt::format("{:.2f}", term.bytes_per_second / kilobyte),
            fmt::format("{:.3f}", term.cores * percent),
            fmt::format("{:.2f}", term.memory_bytes / megabyte),
            unmeasured_slopes(term.used, slopes).empty() ? "measured" : "estimate",
            std::string{term.mechanism}};
}

auto print_host_table(std::ostream& out, control_load const& load, slope_table const& slopes)
    -> void {
    auto table = text_table{
        {"ROLE", "TERM", "MESSAGES/S", "KB/S", "CORE %", "MB", "BASIS", "MECHANISM"}, {}};
    for (auto const& term : load.terms) {
        table.rows.push_back(term_row(term, slopes));
    }
    table.rows.push_back(term_row(total_of(load.terms), slopes));
    out << "Control on one host that has every role\n\n" << format_table(table) << '\n';
}

auto print_budget(std::ostream& out, control_load const& load, slope_table const& slopes) -> void {
    auto const sum = total_of(load.terms);
    auto const limit = control_budget{};
    auto table = text_table{{"BUDGET", "SPENT", "ALLOWED", "RESULT"}, {}};
    table.rows.push_back({"core %", fmt::format("{:.3f}", sum.cores * percent),
                          fmt::format("{:.3f}", limit.cores * percent),
                          budget_result(sum.cores, limit.cores, sum.used, slopes)});
    table.rows.push_back({"MB", fmt::format("{:.2f}", sum.memory_bytes / megabyte),
                          fmt::format("{:.2f}", limit.memory_bytes / megabyte),
                          budget_result(sum.memory_bytes, limit.memory_bytes, sum.used, slopes)});
    table.rows.push_back(
        {"KB/s", fmt::format("{:.2f}", sum.bytes_per_second / kilobyte),
         fmt::format("{:.2f}", limit.bytes_per_second / kilobyte),
         budget_result(sum.bytes_per_second, limit.bytes_per_second, sum.used, slopes)});
    out << format_table(table) << '\n';
}

auto print_platform(std::ostream& out, control_load const& load, slope_table const& slopes)
    -> void {
    auto const limit = platform_budget{};
    auto const sum = total_of(load.platform);
    auto table = text_table{{"PLATFORM", "READS/S", "WRITES/S", "WATCHES", "BASIS"}, {}};
    auto const add = [&](platform_term const& term) {
        table.rows.push_back(
            {std::string{term.name}, fmt::format("{:.2f}", term.reads_per_second),
             fmt::format("{:.2f}", term.writes_per_second), fmt::format("{:.0f}", term.watches),
             unmeasured_slopes(term.used, slopes).empty() ? "measured" : "estimate"});
    };
    for (auto const& term : load.platform) {
        add(term);
    }
    add(sum);
    out << format_table(table)
        << fmt::format(
               "reads: {} of {:.0f}/s; writes: {} of {:.0f}/s\n\n",
               budget_result(sum.reads_per_second, limit.reads_per_second, sum.used, slopes),
               limit.reads_per_second,
               budget_result(sum.writes_per_second, limit.writes_per_second, sum.used, slopes),
               limit.writes_per_second);
}

auto print_unmeasured(std::ostream& out, control_load const& load, slope_table const& slopes)
    -> void {
    auto used = total_of(load.terms).used;
    auto const platform = total_of(load.platform).used;
    used.insert(used.end(), platform.begin(), platform.end());
    auto const names = unmeasured_slopes(used, slopes);
    if (!names.empty()) {
        out << fmt::format("Estimated slopes (not measured): {}\n", fmt::join(names, ", "));
    }
}

auto to_json(control_load const& load, slope_table const& slopes) -> nlohmann::json {
    auto result =
        nlohmann::json{{"host", nlohmann::json::array()}, {"platform", nlohmann::json::array()}};
    for (auto const& term : load.terms) {
        result["host"].push_back({{"role", term.role},
                                  {"term", term.name},
                                  {"mechanism", term.mechanism},
                                  {"messages_per_second", term.messages_per_second},
                                  {"bytes_per_second", term.bytes_per_second},
                                  {"cores", term.cores},
                                  {"memory_bytes", term.memory_bytes},
                                  {"measured", unmeasured_slopes(term.used, slopes).empty()}});
    }
    for (auto const& term : load.platform) {
        result["platform"].push_back({{"term", term.name},
                                      {"reads_per_second", term.reads_per_second},
                                      {"writes_per_second", term.writes_per_second},
                                      {"watches", term.watches},
                                      {"measured", unmeasured_slopes(term.used, slopes).empty()}});
    }
    return result;
}

auto run_capacity(invocation const& run) -> exit_code {
    auto const size = read_deployment_size(run);
    auto const slopes = load_slopes(run);
    if (!size || !slopes) {
        return exit_code::usage;
    }
    auto const load = estimate_control_load(*size, *slopes);
    if (run.wants_json()) {
        run.out() << to_json(load, *slopes).dump(2) << '\n';
        return exit_code::done;
    }
    print_host_table(run.out(), load, *slopes);
    print_budget(run.out(), load, *slopes);
    print_platform(run.out(), load, *slopes);
    print_unmeasured(run.out(), load, *slopes);
    return exit_code::done;
}

}  // namespace

auto capacity_commands() -> std::vector<command> {
    return {
        {"capacity",
         "",
         {},
         "Estimate the cost of control for a deployment size.",
         "Multiplies the costs per unit of work in the slopes file by the deployment size; the\n"
         "defaults are the size that the project is designed for. Terms that depend on unmeasured\n"
         "slopes are marked as estimates.\n",
         false,
         add_options,
         run_capacity}};
}

}  // namespace linnetlane::ctl
