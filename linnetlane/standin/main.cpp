// linnetlane_standin: serves stand-ins for engines, a plain service or the platform, or a TCP
// relay, for tests and benchmarks.

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/program_options.hpp>
#include <boost/system/system_error.hpp>

#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/standin/engine_server.h"
#include "linnetlane/standin/options.h"
#include "linnetlane/standin/plain_server.h"
#include "linnetlane/standin/platform_server.h"
#include "linnetlane/standin/relay.h"
#include "linnetlane/standin/relay_control.h"

namespace {

namespace options = boost::program_options;
using namespace linnetlane;  // NOLINT(google-build-using-namespace)

constexpr auto exit_usage = 2;

// Prints the address of a listener, so that scripts which use port 0 learn the port.
auto announce(base::endpoint const& address, std::string const& name) -> void {
    std::cout << "listening " << address.address << ':' << address.port;
    if (!name.empty()) {
        std::cout << ' ' << name;
    }
    std::cout << std::endl;
}

// Serves until the process is terminated.
[[noreturn]] auto serve_on(runtime::worker_pool& pool) -> void {
    pool.join();
    std::exit(EXIT_SUCCESS);
}

auto common_options() -> options::options_description {
    auto described = options::options_description{"Options of every stand-in"};
    auto add = described.add_options();
    add("help", "show the options");
    add("address", options::value<std::string>()->default_value("127.0.0.1"),
        "IP address to listen on");
    add("port", options::value<std::uint16_t>()->default_value(0),
        "port to listen on; 0 takes a free port");
    add("workers", options::value<std::size_t>()->default_value(1), "worker threads");
    return described;
}

auto address_of(options::variables_map const& given) -> base::endpoint {
    return base::endpoint{given["address"].as<std::string>(), given["port"].as<std::uint16_t>()};
}

auto platform_options() -> options::options_description {
    auto const defaults = standin::platform_limits{};
    auto described = common_options();
    auto add = described.add_options();
    add("writes-per-second", options::value<double>()->default_value(defaults.writes_per_second),
        "writes per second above which calls get 429");
    add("reads-per-second", options::value<double>()->default_value(defaults.reads_per_second),
        "reads per second above which calls get 429");
    add("value-bytes", options::value<std::size_t>()->default_value(defaults.value_bytes),
        "maximum size of a value in bytes");
    return described;
}

auto run_platform(options::variables_map const& given, runtime::worker_pool& pool) -> int {
    auto limits = standin::platform_limits{};
    limits.writes_per_second = given["writes-per-second"].as<double>();
    limits.reads_per_second = given["reads-per-second"].as<double>();
    limits.value_bytes = given["value-bytes"].as<std::size_t>();
    auto const server = standin::platform_server{pool, address_of(given), limits};
    announce(server.address(), "");
    serve_on(pool);
}

auto run_plain(options::variables_map const& given, runtime::worker_pool& pool) -> int {
    auto const server = standin::plain_server{pool, address_of(given)};
    announce(server.address(), "");
    serve_on(pool);
}

auto engine_options() -> options::options_description {
    auto const defaults = standin::engine_settings{};
    auto described = common_options();
    auto add = described.add_options();
    add("engine", options::value<std::vector<std::string>>()->composing(),
        "id:role:port; may be repeated");
    add("engines", options::value<std::string>(), "file with one id:role:port per line");
    add("speed", options::value<double>()->default_value(1),
        "factor by which the engines run faster");
    add("pieces", options::value<std::int64_t>()->default_value(defaults.pieces.value),
        "pieces of decode memory");
    add("piece-size", options::value<std::int64_t>()->default_value(defaults.piece_size.value),
        "tokens in a piece");
    add("slots", options::value<std::int64_t>()->default_value(defaults.slots),
        "maximum number of requests that decode at once");
    add("prefill-rate", options::value<double>()->default_value(defaults.prefill_rate.per_second),
        "prompt tokens computed per second");
    add("base-interval-ms",
        options::value<double>()->default_value(base::to_seconds(defaults.base_interval) * 1e3),
        "base duration of a decode step");
    add("running-interval-ms",
        options::value<double>()->default_value(base::to_seconds(defaults.interval_per_running) *
                                                1e3),
        "time that each running request adds to a decode step");
    add("link-rate", options::value<std::int64_t>()->default_value(defaults.link_rate.value),
        "bandwidth into a decode engine in bytes per second");
    add("kv-bytes",
        options::value<std::int64_t>()->default_value(defaults.kv_bytes_per_token.value),
        "bytes of KV cache per token");
    add("result-kept-ms",
        options::value<double>()->default_value(base::to_seconds(defaults.result_kept) * 1e3),
        "how long a prefill result is kept");
    add("load-lag-ms",
        options::value<double>()->default_value(base::to_seconds(defaults.load_lag) * 1e3),
        "age of the reported load");
    add("cache-pieces",
        options::value<std::int64_t>()->default_value(defaults.cache.capacity.value),
        "capacity of the prefix cache in pieces");
    add("checks-fencing", options::bool_switch(), "refuse orders with an old fencing number");
    return described;
}

auto milliseconds_of(options::variables_map const& given, char const* name) -> base::duration {
    return base::from_seconds(given[name].as<double>() / 1e3);
}

auto engine_settings_of(options::variables_map const& given) -> standin::engine_settings {
    auto settings = standin::engine_settings{};
    settings.pieces.value = given["pieces"].as<std::int64_t>();
    settings.piece_size.value = given["piece-size"].as<std::int64_t>();
    settings.slots = given["slots"].as<std::int64_t>();
    settings.prefill_rate.per_second = given["prefill-rate"].as<double>();
    settings.base_interval = milliseconds_of(given, "base-interval-ms");
    settings.interval_per_running = milliseconds_of(given, "running-interval-ms");
    settings.link_rate.value = given["link-rate"].as<std::int64_t>();
    settings.kv_bytes_per_token.value = given["kv-bytes"].as<std::int64_t>();
    settings.result_kept = milliseconds_of(given, "result-kept-ms");
    settings.load_lag = milliseconds_of(given, "load-lag-ms");
    settings.cache.capacity.value = given["cache-pieces"].as<std::int64_t>();
    settings.checks_fencing = given["checks-fencing"].as<bool>();
    return standin::scaled(settings, given["speed"].as<double>());
}

auto engine_texts_of(options::variables_map const& given) -> std::vector<std::string> {
    auto texts = std::vector<std::string>{};
    if (given.count("engine") > 0) {
        texts = given["engine"].as<std::vector<std::string>>();
    }
    if (given.count("engines") > 0) {
        auto file = std::ifstream{given["engines"].as<std::string>()};
        for (auto line = std::string{}; std::getline(file, line);) {
            if (!line.empty()) {
                texts.push_back(line);
            }
        }
    }
    return texts;
}

auto run_engine(options::variables_map const& given, runtime::worker_pool& pool) -> int {
    auto settings = engine_settings_of(given);
    auto servers = std::vector<std::unique_ptr<standin::engine_server>>{};
    for (auto const& text : engine_texts_of(given)) {
        auto const wanted = standin::parse_engine_option(text);
        if (!wanted) {
            std::cerr << "invalid engine, expected id:role:port: " << text << '\n';
            return exit_usage;
        }
        settings.role = wanted->role;
        auto const address = base::endpoint{given["address"].as<std::string>(), wanted->port};
        servers.push_back(std::make_unique<standin::engine_server>(pool, address, settings));
        announce(servers.back()->address(), wanted->id);
    }
    if (servers.empty()) {
        std::cerr << "no engine specified; use --engine or --engines\n";
        return exit_usage;
    }
    serve_on(pool);
}

auto relay_options() -> options::options_description {
    auto described = common_options();
    described.add_options()("link", options::value<std::vector<std::string>>()->composing(),
                            "port=ip:port; may be repeated");
    return described;
}

auto run_relay(options::variables_map const& given, runtime::worker_pool& pool) -> int {
    auto links = standin::relay{pool};
    auto const control = standin::serve_relay_control(pool, address_of(given), links);
    announce(control->address(), "control");
    auto const texts = given.count("link") > 0 ? given["link"].as<std::vector<std::string>>()
                                               : std::vector<std::string>{};
    for (auto const& text : texts) {
        auto const wanted = standin::parse_relay_option(text);
        if (!wanted) {
            std::cerr << "invalid link, expected port=ip:port: " << text << '\n';
            return exit_usage;
        }
        auto const from = base::endpoint{given["address"].as<std::string>(), wanted->port};
        announce(links.add(from, wanted->target), text.substr(text.find('=') + 1));
    }
    serve_on(pool);
}

struct command {
    options::options_description described;
    int (*run)(options::variables_map const&, runtime::worker_pool&) = nullptr;
};

auto commands() -> std::map<std::string, command> {
    return {{"engine", command{engine_options(), run_engine}},
            {"plain", command{common_options(), run_plain}},
            {"platform", command{platform_options(), run_platform}},
            {"relay", command{relay_options(), run_relay}}};
}

auto run(command const& chosen, std::vector<std::string> const& arguments) -> int {
    auto given = options::variables_map{};
    options::store(options::command_line_parser(arguments).options(chosen.described).run(), given);
    options::notify(given);
    if (given.count("help") > 0) {
        std::cout << chosen.described;
        return EXIT_SUCCESS;
    }
    auto pool = runtime::worker_pool{runtime::worker_count{given["workers"].as<std::size_t>()}};
    auto const status = chosen.run(given, pool);
    std::cout << std::flush;
    std::_Exit(status);
}

}  // namespace

auto main(int argc, char** argv) -> int {
    auto const arguments = std::vector<std::string>(argv + 1, argv + argc);
    auto const known = commands();
    auto const chosen = arguments.empty() ? known.end() : known.find(arguments.front());
    if (chosen == known.end()) {
        std::cerr << "usage: linnetlane_standin engine|plain|platform|relay [options]\n";
        return exit_usage;
    }
    try {
        return run(chosen->second, {arguments.begin() + 1, arguments.end()});
    } catch (options::error const& wrong) {
        std::cerr << wrong.what() << '\n';
        return exit_usage;
    } catch (boost::system::system_error const& failed) {
        std::cerr << failed.what() << '\n';
        return EXIT_FAILURE;
    }
}
