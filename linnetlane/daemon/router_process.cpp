#include "linnetlane/daemon/router_process.h"

#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <memory>
#include <random>

#include "linnetlane/daemon/signals.h"
#include "linnetlane/router/host.h"
#include "linnetlane/router/settings.h"
#include "linnetlane/runtime/response_memory.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/telemetry/bounded_sink.h"
#include "linnetlane/telemetry/log.h"
#include "platform/registry.h"
#include "platform/wire.h"

namespace linnetlane::daemon {

namespace {

// Exit codes; also in docs/OPERATORS.md.
constexpr auto exit_ok = 0;
constexpr auto exit_failed = 1;
constexpr auto exit_bad_settings = 2;

using host = router::router_host<users_platform::registry, users_platform::wire>;

// Has large blocks, such as the bodies of answers, returned to the system when they are freed. In
// the heap, they would leave gaps that other sizes don't fit into.
auto keep_large_blocks_out_of_heap() -> void {
    constexpr auto large_bytes = 32 * 1024;
    static_cast<void>(::mallopt(M_MMAP_THRESHOLD, large_bytes));
}

auto limit_answer_memory(router::memory_settings const& memory, telemetry::event_log const& log)
    -> void {
    auto& answers = runtime::process_response_memory();
    answers.set_limit(memory.answers());
    answers.on_give_way([&log](runtime::response_group const& group, base::byte_count held) {
        // The address of the upstream or host, or an empty one if callers read too slowly.
        log.write(telemetry::log_level::warning,
                  "answer gave way: all together take too much memory",
                  {group.from,
                   {"sent", group.direction == runtime::response_direction::sent},
                   {"held", held}});
    });
}

auto print_problems(std::vector<settings::toml_problem> const& problems, std::string const& file)
    -> void {
    for (auto const& problem : problems) {
        std::cerr << router::to_string(problem, file) << '\n';
    }
}

// Checks the settings file without applying it, so that errors are detected before the next start.
// No setting can change in a running host: its addresses and names are fixed at the start.
auto reload(std::string const& file, telemetry::event_log const& log) -> void {
    auto const loaded = router::load_router_settings(file);
    auto const* const problems = base::failure_of(loaded);
    if (problems != nullptr) {
        print_problems(*problems, file);
    }
    log.write(problems == nullptr ? telemetry::log_level::info : telemetry::log_level::error,
              "settings file checked", {{"valid", problems == nullptr}});
}

}  // namespace

auto run_router(std::string const& file, router_mode mode) -> int {
    auto loaded = router::load_router_settings(file);
    if (auto const* const problems = base::failure_of(loaded)) {
        print_problems(*problems, file);
        return exit_bad_settings;
    }
    if (mode == router_mode::check_settings) {
        return exit_ok;
    }
    auto const settings = base::take_value(std::move(loaded));
    keep_large_blocks_out_of_heap();
    auto const signals = block_signals();
    auto const log = telemetry::event_log{
        settings.log,
        {settings.host, settings.data_centre},
        std::make_shared<telemetry::bounded_sink>(STDOUT_FILENO, telemetry::sink_bounds{})};
    limit_answer_memory(settings.memory, log);
    auto pool = runtime::worker_pool{runtime::worker_count{1}};
    auto running =
        std::make_unique<host>(pool, settings, users_platform::registry{settings.coordination}, log,
                               std::random_device{}());
    try {
        running->start();
    } catch (std::exception const& error) {
        std::cerr << "linnetlaned: an address can't be bound: " << error.what() << '\n';
        std::_Exit(exit_failed);
    }
    for (;;) {
        auto signal = 0;
        sigwait(&signals, &signal);
        if (signal == SIGHUP) {
            reload(file, log);
        } else {
            running->shut_down([] { std::_Exit(exit_ok); });
        }
    }
}

}  // namespace linnetlane::daemon
