#include "linnetlane/settings/parse.h"

#include <algorithm>
#include <array>
#include <fstream>
#include <iterator>
#include <utility>

#include <fmt/format.h>

#include "linnetlane/settings/text_values.h"

namespace linnetlane::settings {

namespace {

constexpr auto log_levels = std::array{
    toml_word<log_level>{"debug", log_level::debug},
    toml_word<log_level>{"info", log_level::info},
    toml_word<log_level>{"warning", log_level::warning},
    toml_word<log_level>{"error", log_level::error},
};

constexpr auto log_formats = std::array{
    toml_word<log_format>{"text", log_format::text},
    toml_word<log_format>{"json", log_format::json},
};

constexpr auto trace_outputs = std::array{
    toml_word<trace_output>{"off", trace_output::off},
    toml_word<trace_output>{"stderr", trace_output::standard_error},
    toml_word<trace_output>{"file", trace_output::file},
};

constexpr auto max_workers = std::size_t{256};

auto read_at_least_one(toml_reader& reader, std::string_view key, std::size_t& target) -> void {
    if (reader.read(key, target) && target == 0) {
        reader.report(toml_fault::out_of_bounds, key, "expected 1 or more");
    }
}

auto read_positive(toml_reader& reader, std::string_view key, base::duration& target) -> void {
    if (reader.read(key, target) && target <= base::duration::zero()) {
        reader.report(toml_fault::out_of_bounds, key, "expected more than 0");
    }
}

auto read_listen(toml_reader& reader, listen_addresses& target) -> void {
    reader.require("callers", target.callers);
    reader.require("peers", target.peers);
    reader.require("operators", target.operators);
}

auto read_platform(toml_reader& reader, std::vector<base::endpoint>& target) -> void {
    reader.expect("endpoints");
    reader.read_list("endpoints", target);
}

auto read_seed(toml_reader& reader, std::vector<seed_peer>& target) -> void {
    auto seed = seed_peer{};
    reader.require("host", seed.host);
    reader.require("data_centre", seed.data_centre);
    reader.require("address", seed.address);
    target.push_back(std::move(seed));
}

auto read_log(toml_reader& reader, log_settings& target) -> void {
    reader.read_word("level", target.level, log_levels);
    reader.read_word("format", target.format, log_formats);
}

auto read_trace(toml_reader& reader, trace_settings& target) -> void {
    reader.read_word("output", target.output, trace_outputs);
    reader.read("file", target.file);
    if (target.output == trace_output::file) {
        reader.expect("file");
    }
}

auto read_limits(toml_reader& reader, http_limits& target) -> void {
    read_at_least_one(reader, "header_bytes", target.header_bytes);
    read_at_least_one(reader, "body_bytes", target.body_bytes);
    read_at_least_one(reader, "connections", target.connections);
    read_positive(reader, "request_arrival", target.request_arrival);
    read_positive(reader, "idle", target.idle);
}

enum class authority_use { optional, required };

auto read_tls_files(toml_reader& reader, std::string_view key, std::optional<tls_files>& target,
                    authority_use authority) -> void {
    reader.read_table(key, [&target, authority](toml_reader& inner) {
        auto files = tls_files{};
        inner.require("certificate", files.certificate);
        inner.require("key", files.key);
        inner.read("authority", files.authority);
        if (authority == authority_use::required) {
            inner.expect("authority");
        }
        target = std::move(files);
    });
}

auto read_settings(toml_reader& reader) -> settings {
    auto result = settings{};
    reader.require("host", result.host);
    reader.require("data_centre", result.data_centre);
    read_at_least_one(reader, "workers", result.workers);
    if (result.workers > max_workers) {
        reader.report(toml_fault::out_of_bounds, "workers",
                      fmt::format("expected {} at most", max_workers));
    }
    reader.expect("listen");
    reader.read_table("listen", [&](toml_reader& inner) { read_listen(inner, result.listen); });
    reader.expect("platform");
    reader.read_table("platform",
                      [&](toml_reader& inner) { read_platform(inner, result.platform); });
    reader.read_tables("seeds", [&](toml_reader& inner) { read_seed(inner, result.seeds); });
    reader.read_table("log", [&](toml_reader& inner) { read_log(inner, result.log); });
    reader.read_table("trace", [&](toml_reader& inner) { read_trace(inner, result.trace); });
    reader.read_table("limits", [&](toml_reader& inner) { read_limits(inner, result.limits); });
    reader.read_table("tls", [&](toml_reader& inner) {
        read_tls_files(inner, "callers", result.caller_tls, authority_use::optional);
        read_tls_files(inner, "peers", result.peer_tls, authority_use::required);
    });
    return result;
}

// Whether a connection to `address` may reach `listen`; true if either is unknown.
auto may_be_same_endpoint(base::endpoint const& listen, base::endpoint const& address) -> bool {
    auto const unknown = listen.address.empty() || address.address.empty();
    auto const any_address = unknown || listen.address == "0.0.0.0" || listen.address == "::";
    auto const same_address = any_address || listen.address == address.address;
    auto const same_port = unknown || listen.port == 0 || listen.port == address.port;
    return same_address && same_port;
}

// Checks the hosts named in `loaded` for conflicting names and addresses.
class host_check {
public:
    host_check(settings const& read_settings, toml_diagnostics const& findings,
               std::string_view file)
        : loaded{&read_settings}, found{&findings}, file_name{file} {}

    auto run(std::vector<settings_error>& errors) const -> void {
        for (auto index = std::size_t{0}; index < this->loaded->seeds.size(); ++index) {
            this->check_against_self(index, errors);
            this->check_against_earlier(index, errors);
        }
    }

private:
    auto check_against_self(std::size_t index, std::vector<settings_error>& errors) const -> void {
        auto const& seed = this->loaded->seeds[index];
        if (seed.host.value.empty() || seed.host != this->loaded->host) {
            return;
        }
        if (!may_be_same_endpoint(this->loaded->listen.peers, seed.address)) {
            errors.push_back(this->error(settings_fault::duplicate_host, index, "host",
                                         "this host has the same name at another address"));
        }
    }

    auto check_against_earlier(std::size_t index, std::vector<settings_error>& errors) const
        -> void {
        auto const& seeds = this->loaded->seeds;
        auto const& seed = seeds[index];
        for (auto earlier = std::size_t{0}; earlier < index; ++earlier) {
            if (!seed.host.value.empty() && seeds[earlier].host == seed.host) {
                errors.push_back(this->error(settings_fault::duplicate_host, index, "host",
                                             fmt::format("seeds[{}] has the same name", earlier)));
            }
            if (!seed.address.address.empty() && seeds[earlier].address == seed.address) {
                errors.push_back(
                    this->error(settings_fault::duplicate_address, index, "address",
                                fmt::format("seeds[{}] has the same address", earlier)));
            }
        }
    }

    [[nodiscard]] auto error(settings_fault fault, std::size_t index, std::string_view field,
                             std::string detail) const -> settings_error {
        auto key = fmt::format("seeds[{}].{}", index, field);
        auto const line = this->found->lines.find(key);
        return {fault, this->file_name, line == this->found->lines.end() ? 1 : line->second,
                std::move(key), std::move(detail)};
    }

    settings const* loaded;
    toml_diagnostics const* found;
    std::string file_name;
};

auto describe_settings_fault(settings_fault fault) -> std::string_view {
    switch (fault) {
        case settings_fault::unreadable_file:
            return "cannot read the file";
        case settings_fault::duplicate_host:
            return "duplicate host name";
        case settings_fault::duplicate_address:
            return "duplicate host address";
    }
    return "unknown error";
}

auto to_error(toml_problem problem, std::string_view file) -> settings_error {
    return {problem.fault, std::string{file}, problem.line, std::move(problem.key),
            std::move(problem.detail)};
}

}  // namespace

auto to_string(settings_error const& error) -> std::string {
    auto const what = std::visit(
        base::overloaded{[](toml_fault fault) { return describe(fault); },
                         [](settings_fault fault) { return describe_settings_fault(fault); }},
        error.fault);
    auto text = fmt::format("{}:{}: ", error.file, error.line);
    if (!error.key.empty()) {
        text += fmt::format("{}: ", error.key);
    }
    text += what;
    if (!error.detail.empty()) {
        text += fmt::format(" ({})", error.detail);
    }
    return text;
}

auto parse_settings(std::string_view text, std::string_view file)
    -> base::result<settings, std::vector<settings_error>> {
    auto table = parse_toml(text);
    if (auto const* problem = base::failure_of(table)) {
        return std::vector{to_error(*problem, file)};
    }
    auto findings = toml_diagnostics{};
    auto reader = toml_reader{base::value_of(table), "", findings};
    auto result = read_settings(reader);
    reader.finish();

    auto errors = std::vector<settings_error>{};
    for (auto& problem : findings.problems) {
        errors.push_back(to_error(std::move(problem), file));
    }
    host_check{result, findings, file}.run(errors);
    if (errors.empty()) {
        return result;
    }
    std::stable_sort(errors.begin(), errors.end(),
                     [](settings_error const& left, settings_error const& right) {
                         return left.line < right.line;
                     });
    return errors;
}

auto load_settings(std::string const& path) -> base::result<settings, std::vector<settings_error>> {
    auto file = std::ifstream{path, std::ios::binary};
    auto const text = std::string{std::istreambuf_iterator<char>{file}, {}};
    if (!file.is_open() || file.bad()) {
        return std::vector{settings_error{settings_fault::unreadable_file, path, 1, "", ""}};
    }
    return parse_settings(text, path);
}

}  // namespace linnetlane::settings
