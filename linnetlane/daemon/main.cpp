// The daemon: an entry host, or a host of the router on the users' platform.

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <optional>
#include <string>
#include <thread>
#include <variant>

#include <boost/program_options.hpp>

#include "linnetlane/base/result.h"
#include "linnetlane/cell/placement_policy.h"
#include "linnetlane/daemon/host.h"
#include "linnetlane/daemon/router_process.h"
#include "linnetlane/daemon/signals.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/settings/parse.h"

namespace linnetlane::daemon {
namespace {

namespace program_options = boost::program_options;

// Exit codes; also in docs/OPERATORS.md.
constexpr auto exit_ok = 0;
constexpr auto exit_failed = 1;
constexpr auto exit_bad_settings = 2;

struct command_line {
    std::string settings_file;
    bool check_only = false;
    cell::placement_policy policy;
};

auto describe() -> program_options::options_description {
    auto options = program_options::options_description("linnetlaned: the daemon of an entry host");
    auto add = options.add_options();
    add("help,h", "show this text");
    add("router,r", program_options::value<std::string>(),
        "run the router on the users' platform with the settings in FILE");
    add("check-router", program_options::value<std::string>(),
        "check the router settings in FILE; exit 0 if they are valid, 2 if not");
    add("settings,s", program_options::value<std::string>(), "start with the settings in FILE");
    add("check-settings", program_options::value<std::string>(),
        "check the settings in FILE; exit 0 if they are valid, 2 if not");
    add("policy", program_options::value<std::string>()->default_value("linnetlane"),
        "placement policy: linnetlane, or round_robin, least_load or two_choices for comparison");
    return options;
}

// Returns the parsed command line, or the exit code if there is nothing left to do.
auto read_command_line(int count, char const* const* arguments) -> std::variant<command_line, int> {
    auto const options = describe();
    auto values = program_options::variables_map{};
    try {
        program_options::store(program_options::parse_command_line(count, arguments, options),
                               values);
    } catch (program_options::error const& error) {
        std::cerr << "linnetlaned: " << error.what() << "; see linnetlaned --help\n";
        return exit_bad_settings;
    }
    if (values.contains("help")) {
        std::cout << options;
        return exit_ok;
    }
    if (values.contains("router")) {
        return run_router(values["router"].as<std::string>(), router_mode::run);
    }
    if (values.contains("check-router")) {
        return run_router(values["check-router"].as<std::string>(), router_mode::check_settings);
    }
    auto const policy = cell::parse_placement_policy(values["policy"].as<std::string>());
    auto const check_only = values.contains("check-settings");
    auto const* const name = check_only ? "check-settings" : "settings";
    if (!values.contains(name) || !policy) {
        std::cerr << "linnetlaned: needs --settings FILE and a known policy; see --help\n";
        return exit_bad_settings;
    }
    return command_line{values[name].as<std::string>(), check_only, *policy};
}

auto describe(start_failure failure) -> char const* {
    switch (failure) {
        case start_failure::caller_identity:
            return "the certificate or key for callers can't be loaded";
        case start_failure::peer_identity:
            return "the certificate or key for peers can't be loaded";
        case start_failure::caller_address:
            return "the address for callers can't be bound";
        case start_failure::peer_address:
            return "the address for peers can't be bound";
        case start_failure::operator_address:
            return "the address for operators can't be bound";
    }
    return "unknown failure";
}

auto print(char const* role, base::endpoint const& address) -> void {
    std::cout << "listening " << role << ' ' << address.address << ':' << address.port << '\n';
}

// Handles signals until the graceful shutdown ends the process; a second signal has no effect.
[[noreturn]] auto wait_for_signals(host& running, sigset_t const& signals) -> void {
    for (;;) {
        auto signal = 0;
        sigwait(&signals, &signal);
        if (signal == SIGHUP) {
            running.reload_identities();
        } else {
            running.shut_down([] { std::_Exit(exit_ok); });
        }
    }
}

auto run(command_line const& chosen) -> int {
    auto loaded = settings::load_settings(chosen.settings_file);
    if (auto const* const errors = base::failure_of(loaded)) {
        for (auto const& error : *errors) {
            std::cerr << settings::to_string(error) << '\n';
        }
        return exit_bad_settings;
    }
    if (chosen.check_only) {
        return exit_ok;
    }
    auto const signals = block_signals();
    auto options = host_options{base::take_value(std::move(loaded)), chosen.policy,
                                [] { ::kill(::getpid(), SIGTERM); }};
    auto pool = runtime::worker_pool{runtime::worker_count{options.settings.workers}};
    auto started = host::start(pool, options);
    if (auto const* const failure = base::failure_of(started)) {
        std::cerr << "linnetlaned: " << describe(*failure) << '\n';
        std::_Exit(exit_failed);
    }
    auto const running = base::take_value(std::move(started));
    auto const addresses = running->addresses();
    print("callers", addresses.callers);
    print("peers", addresses.peers);
    print("operators", addresses.operators);
    std::cout.flush();
    wait_for_signals(*running, signals);
}

}  // namespace
}  // namespace linnetlane::daemon

auto main(int count, char** arguments) -> int {
    auto const read = linnetlane::daemon::read_command_line(count, arguments);
    if (auto const* const code = std::get_if<int>(&read)) {
        return *code;
    }
    return linnetlane::daemon::run(std::get<linnetlane::daemon::command_line>(read));
}
