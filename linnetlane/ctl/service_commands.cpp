#include "linnetlane/ctl/service_commands.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <thread>
#include <utility>

#include <fmt/format.h>
#include <boost/program_options/value_semantic.hpp>

#include "linnetlane/ctl/read_file.h"
#include "linnetlane/ctl/table.h"
#include "linnetlane/service/diff.h"
#include "linnetlane/service/parse.h"
#include "linnetlane/settings/text_values.h"

namespace linnetlane::ctl {

namespace {

namespace po = boost::program_options;

constexpr auto status_interval = std::chrono::milliseconds{200};

// A parsed document and its source text.
struct loaded_document {
    service::document document;
    std::string text;
};

// Loads the document from the file that the first argument names. Prints errors and returns nothing
// on failure.
auto load_document(invocation const& run) -> std::optional<loaded_document> {
    auto const& path = run.arguments.front();
    auto text = read_file(path);
    if (!text) {
        run.err() << "linnetctl: cannot read " << path << "\n";
        return std::nullopt;
    }
    auto parsed = service::parse_document(*text);
    if (auto const* errors = base::failure_of(parsed)) {
        for (auto const& error : *errors) {
            run.err() << path << ": " << service::to_string(error) << '\n';
        }
        run.err() << fmt::format("linnetctl: {} error(s); nothing was sent.\n", errors->size());
        return std::nullopt;
    }
    return loaded_document{base::take_value(std::move(parsed)), std::move(*text)};
}

auto service_argument(invocation const& run) -> base::service_id {
    return base::service_id{run.arguments.front()};
}

auto generation_text(std::optional<base::generation> generation) -> std::string {
    return generation ? std::to_string(generation->value) : "-";
}

template <typename Message>
auto print_json(invocation const& run, Message const& message) -> exit_code {
    run.out() << nlohmann::json(message).dump(2) << '\n';
    return exit_code::done;
}

auto run_list(invocation const& run) -> exit_code {
    auto const result = run.client().call<service_list>(list_services{});
    if (auto const* failure = base::failure_of(result)) {
        return report_failure(run, *failure);
    }
    auto const& list = base::value_of(result);
    if (run.wants_json()) {
        return print_json(run, list);
    }
    auto table = text_table{{"SERVICE", "GENERATION", "KIND", "UPSTREAMS", "STATE"}, {}};
    for (auto const& row : list.services) {
        table.rows.push_back({row.service.value, generation_text(row.generation), row.kind,
                              std::to_string(row.upstreams), row.removed ? "removed" : "in force"});
    }
    run.out() << format_table(table);
    return exit_code::done;
}

auto run_get(invocation const& run) -> exit_code {
    auto const result = run.client().call<service_text>(get_service{service_argument(run)});
    if (auto const* failure = base::failure_of(result)) {
        return report_failure(run, *failure);
    }
    auto read = base::value_of(result);
    // The stored text names the generation that it replaced; applying the output again needs the
    // current one.
    read.text = service::with_generation(read.text, read.generation);
    if (run.wants_json()) {
        return print_json(run, read);
    }
    run.out() << read.text;
    return exit_code::done;
}

auto run_check(invocation const& run) -> exit_code {
    auto const loaded = load_document(run);
    if (!loaded) {
        return exit_code::usage;
    }
    run.out() << fmt::format("{}: valid, {} upstream(s), {} caller(s)\n", loaded->document.id.value,
                             loaded->document.upstreams.size(), loaded->document.callers.size());
    return exit_code::done;
}

auto print_changes(std::ostream& out, std::vector<service::change> const& changes) -> void {
    for (auto const& change : changes) {
        out << service::to_string(change) << '\n';
    }
}

// On a conflict, prints the differences from the document in force to `wanted`.
auto print_conflict(invocation const& run, call_failure const& failure,
                    service::document const& wanted) -> void {
    auto const* const error = std::get_if<api_error>(&failure);
    if (error == nullptr || !error->in_force) {
        return;
    }
    auto const parsed = service::parse_document(error->in_force->text);
    if (!base::succeeded(parsed)) {
        return;
    }
    run.err() << fmt::format("Generation {} is in force; differences from it to the file:\n",
                             error->in_force->generation.value);
    print_changes(run.err(), service::diff_documents(base::value_of(parsed), wanted));
}

auto is_in_force_everywhere(service_status const& status, base::generation wanted) -> bool {
    return !status.hosts.empty() &&
           std::all_of(status.hosts.begin(), status.hosts.end(), [wanted](auto const& host) {
               return host.generation && *host.generation >= wanted;
           });
}

// Polls the status until all hosts have `wanted` in force or `deadline` passes.
auto wait_until_in_force_everywhere(invocation const& run, apply_answer const& wanted,
                                    base::time_point deadline) -> exit_code {
    auto const client = run.client();
    while (base::monotonic_clock::now() < deadline) {
        auto const status = client.call<service_status>(get_status{wanted.service});
        if (base::succeeded(status) &&
            is_in_force_everywhere(base::value_of(status), wanted.generation)) {
            run.out() << fmt::format("in force on {} host(s)\n",
                                     base::value_of(status).hosts.size());
            return exit_code::done;
        }
        std::this_thread::sleep_for(status_interval);
    }
    run.err()
        << "linnetctl: accepted, but not confirmed on every host before the --wait deadline.\n"
           "`linnetctl service status ID` shows which hosts are behind.\n";
    return exit_code::differs;
}

auto finish_change(invocation const& run, apply_answer const& answer) -> exit_code {
    if (run.wants_json()) {
        print_json(run, answer);
    } else {
        run.out() << fmt::format("{}: generation {}\n", answer.service.value,
                                 answer.generation.value);
    }
    if (run.options.count("wait") == 0) {
        return exit_code::done;
    }
    auto const timeout = settings::parse_duration(run.options["wait"].as<std::string>());
    return wait_until_in_force_everywhere(run, answer, base::monotonic_clock::now() + *timeout);
}

// Prints an error and returns true if `--wait` is given and is not a duration.
auto reports_invalid_wait(invocation const& run) -> bool {
    if (run.options.count("wait") == 0 ||
        settings::parse_duration(run.options["wait"].as<std::string>())) {
        return false;
    }
    run.err() << "linnetctl: --wait must be a duration such as 15s\n";
    return true;
}

// Returns the generation that `--base` gives, or `default_generation` without it.
auto base_option(invocation const& run, base::generation default_generation) -> base::generation {
    return run.options.count("base") == 0
               ? default_generation
               : base::generation{run.options["base"].as<std::uint64_t>()};
}

auto run_apply(invocation const& run) -> exit_code {
    auto const loaded = load_document(run);
    if (!loaded || reports_invalid_wait(run)) {
        return exit_code::usage;
    }
    auto const replaces = base_option(run, loaded->document.generation);
    auto const result =
        run.client().call<apply_answer>(apply_service{loaded->document.id, replaces}, loaded->text);
    if (auto const* failure = base::failure_of(result)) {
        print_conflict(run, *failure, loaded->document);
        return report_failure(run, *failure);
    }
    return finish_change(run, base::value_of(result));
}

auto run_remove(invocation const& run) -> exit_code {
    if (reports_invalid_wait(run)) {
        return exit_code::usage;
    }
    auto const client = run.client();
    auto replaces = base_option(run, base::generation{});
    if (run.options.count("base") == 0) {
        run.err() << "linnetctl: --base GENERATION is required, so that a newer change is not "
                     "removed unnoticed.\n`linnetctl service list` shows the generations.\n";
        return exit_code::usage;
    }
    auto const result = client.call<apply_answer>(remove_service{service_argument(run), replaces});
    if (auto const* failure = base::failure_of(result)) {
        return report_failure(run, *failure);
    }
    return finish_change(run, base::value_of(result));
}

auto changes_json(std::vector<service::change> const& changes) -> nlohmann::json {
    auto list = nlohmann::json::array();
    for (auto const& change : changes) {
        list.push_back({{"key", change.key}, {"before", change.before}, {"after", change.after}});
    }
    return {{"changes", std::move(list)}};
}

auto run_diff(invocation const& run) -> exit_code {
    auto const loaded = load_document(run);
    if (!loaded) {
        return exit_code::usage;
    }
    auto const result = run.client().call<service_text>(get_service{loaded->document.id});
    if (auto const* failure = base::failure_of(result)) {
        return report_failure(run, *failure);
    }
    auto const in_force = service::parse_document(base::value_of(result).text);
    if (!base::succeeded(in_force)) {
        return report_failure(
            run, message_failure{"the document in force is in the format of a later version"});
    }
    auto const changes = service::diff_documents(base::value_of(in_force), loaded->document);
    if (run.wants_json()) {
        run.out() << changes_json(changes).dump(2) << '\n';
    } else {
        print_changes(run.out(), changes);
    }
    return changes.empty() ? exit_code::done : exit_code::differs;
}

// Returns the differences between two versions, one per line; empty if either cannot be parsed.
auto changes_between(service_text const& before, service_text const& after) -> std::string {
    auto const first = service::parse_document(before.text);
    auto const second = service::parse_document(after.text);
    if (!base::succeeded(first) || !base::succeeded(second)) {
        return {};
    }
    auto const changes = service::diff_documents(base::value_of(first), base::value_of(second));
    auto lines = std::string{};
    for (auto const& change : changes) {
        lines += fmt::format("  {}\n", service::to_string(change));
    }
    return lines;
}

auto run_history(invocation const& run) -> exit_code {
    auto const result = run.client().call<service_history>(get_history{service_argument(run)});
    if (auto const* failure = base::failure_of(result)) {
        return report_failure(run, *failure);
    }
    auto const& versions = base::value_of(result).versions;
    if (run.wants_json()) {
        return print_json(run, base::value_of(result));
    }
    for (auto index = std::size_t{0}; index < versions.size(); ++index) {
        auto const& version = versions[index];
        run.out() << fmt::format("generation {}{}\n", version.generation.value,
                                 version.removed ? " (removed)" : "");
        if (index + 1 < versions.size()) {
            run.out() << changes_between(versions[index + 1], version);
        }
    }
    return exit_code::done;
}

auto run_status(invocation const& run) -> exit_code {
    auto const result = run.client().call<service_status>(get_status{service_argument(run)});
    if (auto const* failure = base::failure_of(result)) {
        return report_failure(run, *failure);
    }
    auto const& status = base::value_of(result);
    if (run.wants_json()) {
        return print_json(run, status);
    }
    run.out() << fmt::format("{}: newest known generation {}\n", status.service.value,
                             status.generation.value);
    auto table = text_table{{"HOST", "DATA CENTRE", "IN FORCE", "TOOK"}, {}};
    for (auto const& host : status.hosts) {
        table.rows.push_back({host.host.value, host.data_centre.value,
                              generation_text(host.generation),
                              host.delay ? fmt::format("{:.3f}s", *host.delay) : "-"});
    }
    run.out() << format_table(table);
    return exit_code::done;
}

auto add_change_options(options_description& options) -> void {
    options.add_options()("base", po::value<std::uint64_t>(),
                          "generation to replace, 0 for a new service")(
        "wait", po::value<std::string>(),
        "time to wait until it is in force on all hosts, such as 15s");
}

}  // namespace

auto service_commands() -> std::vector<command> {
    return {
        {"service list",
         "",
         {},
         "List services and their generations.",
         "",
         true,
         nullptr,
         run_list},
        {"service get",
         "ID",
         {1, 1},
         "Print the document in force, ready to edit and apply.",
         "",
         true,
         nullptr,
         run_get},
        {"service check",
         "FILE",
         {1, 1},
         "Check a document without a host.",
         "All errors are printed at once, with their lines. `-` reads standard input.\n",
         false,
         nullptr,
         run_check},
        {"service apply",
         "FILE",
         {1, 1},
         "Apply a service document.",
         "Replaces the generation that the file (from `service get`) or --base names.\n"
         "If another generation is in force, nothing is changed and the differences are shown.\n",
         true,
         add_change_options,
         run_apply},
        {"service diff",
         "FILE",
         {1, 1},
         "Show what applying a document would change.",
         "",
         true,
         nullptr,
         run_diff},
        {"service history",
         "ID",
         {1, 1},
         "Show the recent versions and the changes in each.",
         "",
         true,
         nullptr,
         run_history},
        {"service status",
         "ID",
         {1, 1},
         "Show which generation each host has in force.",
         "",
         true,
         nullptr,
         run_status},
        {"service remove",
         "ID",
         {1, 1},
         "Remove a service, leaving a tombstone in its place.",
         "",
         true,
         add_change_options,
         run_remove},
    };
}

}  // namespace linnetlane::ctl
