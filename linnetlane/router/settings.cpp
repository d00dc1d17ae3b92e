#include "linnetlane/router/settings.h"

#include <array>
#include <fstream>
#include <iterator>
#include <utility>

#include <fmt/format.h>

namespace linnetlane::router {

namespace {

using settings::toml_fault;
using settings::toml_problem;
using settings::toml_reader;
using settings::toml_word;

constexpr auto log_levels = std::array{
    toml_word<settings::log_level>{"debug", settings::log_level::debug},
    toml_word<settings::log_level>{"info", settings::log_level::info},
    toml_word<settings::log_level>{"warning", settings::log_level::warning},
    toml_word<settings::log_level>{"error", settings::log_level::error},
};

auto read_positive(toml_reader& reader, std::string_view key, base::duration& target) -> void {
    if (reader.read(key, target) && target <= base::duration::zero()) {
        reader.report(toml_fault::out_of_bounds, key, "expected more than 0");
    }
}

auto read_share(toml_reader& reader, std::string_view key, base::fraction& target) -> void {
    if (reader.read(key, target) && (target.value < 0 || target.value > 1)) {
        reader.report(toml_fault::out_of_bounds, key, "expected 0 to 1");
    }
}

auto read_retries(toml_reader& reader, routing::retry_budget_limits& target) -> void {
    read_share(reader, "ratio", target.ratio);
    read_positive(reader, "window", target.window);
    if (reader.read("slack", target.slack) && target.slack < 0) {
        reader.report(toml_fault::out_of_bounds, "slack", "expected 0 or more");
    }
}

auto read_generation(toml_reader& reader, generation_settings& target) -> void {
    read_share(reader, "prefill_share", target.prefill_share);
    if (reader.read("engines_asked", target.engines_asked) && target.engines_asked == 0) {
        reader.report(toml_fault::out_of_bounds, "engines_asked", "expected 1 or more");
    }
    reader.read("ranked", target.ranked);
    if (reader.read("output_margin", target.output_margin) && target.output_margin <= 0) {
        reader.report(toml_fault::out_of_bounds, "output_margin", "expected more than 0");
    }
}

auto read_accounts(toml_reader& reader, account_settings& target) -> void {
    auto strict = false;
    reader.read("strict_revocation", strict);
    auto bound = base::duration::zero();
    read_positive(reader, "revocation_bound", bound);
    if (strict && bound > base::duration::zero()) {
        target.revocation_bound = bound;
    } else if (strict) {
        reader.report(toml_fault::missing_key, "revocation_bound", "needed for strict revocation");
    }
    read_positive(reader, "current_within", target.current_within);
}

auto read_quotas(toml_reader& reader, quota_settings& target) -> void {
    read_positive(reader, "window", target.window);
    read_share(reader, "overage", target.overage);
    if (reader.read("slack", target.slack) && target.slack < 0) {
        reader.report(toml_fault::out_of_bounds, "slack", "expected 0 or more");
    }
}

auto read_memory(toml_reader& reader, memory_settings& target) -> void {
    constexpr auto bytes_per_megabyte = std::int64_t{1'000'000};
    constexpr auto most_megabytes = std::int64_t{1'000'000'000};
    auto megabytes = std::int64_t{0};
    if (!reader.read("process_megabytes", megabytes)) {
        return;
    }
    if (megabytes <= 0 || megabytes > most_megabytes) {
        reader.report(toml_fault::out_of_bounds, "process_megabytes", "expected 1 to 1000000000");
        return;
    }
    target.process = base::byte_count{megabytes * bytes_per_megabyte};
}

auto read_all(toml_reader& reader, router_settings& target) -> void {
    reader.require("host", target.host);
    reader.require("data_centre", target.data_centre);
    read_share(reader, "processor_share", target.processor_share);
    reader.expect("listen");
    reader.read_table("listen", [&](toml_reader& listen) {
        listen.require("callers", target.listen.callers);
        listen.require("operators", target.listen.operators);
        if (auto peers = base::endpoint{}; listen.read("peers", peers)) {
            target.listen.peers = peers;
        }
    });
    reader.expect("coordination");
    reader.read_table("coordination", [&](toml_reader& coordination) {
        coordination.require("address", target.coordination);
        read_positive(coordination, "order_lease", target.order_lease);
        coordination.read("first_start", target.first_start);
    });
    reader.read_table("retries",
                      [&](toml_reader& retries) { read_retries(retries, target.retries); });
    reader.read_table("leaving", [&](toml_reader& leaving) {
        read_positive(leaving, "grace", target.leaving.grace);
    });
    reader.read_table("generation", [&](toml_reader& generation) {
        read_generation(generation, target.generation);
    });
    reader.read_table("accounts",
                      [&](toml_reader& accounts) { read_accounts(accounts, target.accounts); });
    reader.read_table("quotas", [&](toml_reader& quotas) { read_quotas(quotas, target.quotas); });
    reader.read_table("memory", [&](toml_reader& memory) { read_memory(memory, target.memory); });
    reader.read_table("changes", [&](toml_reader& changes) {
        read_positive(changes, "applied_within", target.changes.applied_within);
    });
    reader.read_table(
        "log", [&](toml_reader& log) { log.read_word("level", target.log.level, log_levels); });
}

}  // namespace

auto parse_router_settings(std::string_view text)
    -> base::result<router_settings, std::vector<toml_problem>> {
    auto parsed = settings::parse_toml(text);
    if (auto const* problem = base::failure_of(parsed)) {
        return std::vector{*problem};
    }
    auto findings = settings::toml_diagnostics{};
    auto target = router_settings{};
    target.log.format = settings::log_format::json;
    auto reader = toml_reader{base::value_of(parsed), "", findings};
    read_all(reader, target);
    reader.finish();
    if (!findings.problems.empty()) {
        return std::move(findings.problems);
    }
    return target;
}

auto load_router_settings(std::string const& path)
    -> base::result<router_settings, std::vector<toml_problem>> {
    auto file = std::ifstream{path};
    if (!file) {
        return std::vector{toml_problem{toml_fault::malformed, "", 1, "the file can't be read"}};
    }
    auto const text =
        std::string{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    return parse_router_settings(text);
}

auto to_string(toml_problem const& problem, std::string_view file) -> std::string {
    return fmt::format("{}:{}: {}: {}: {}", file, problem.line, problem.key,
                       settings::describe(problem.fault), problem.detail);
}

}  // namespace linnetlane::router
