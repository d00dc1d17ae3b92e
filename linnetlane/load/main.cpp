// linnetlane_load: generates load and reports goodput, wasted prefill and latencies.

#include <cstdlib>
#include <future>
#include <iostream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <boost/program_options.hpp>

#include "linnetlane/load/capacity.h"
#include "linnetlane/load/generator.h"
#include "linnetlane/load/prefill_stats.h"
#include "linnetlane/load/report.h"
#include "linnetlane/load/summary.h"
#include "linnetlane/standin/options.h"

namespace linnetlane::load {
namespace {

namespace options = boost::program_options;

constexpr auto exit_usage = 2;

using texts = std::vector<std::string>;

auto describe() -> options::options_description {
    auto described = options::options_description{"linnetlane_load"};
    auto add = described.add_options();
    add("help", "show the options");
    add("target", options::value<texts>()->composing(),
        "ip:port of an entry host; may be repeated");
    add("service", options::value<std::string>()->default_value("finding"), "service to request");
    add("prefill", options::value<texts>()->composing(),
        "ip:port of a prefill engine; may be repeated");
    add("decode", options::value<texts>()->composing(),
        "ip:port of a decode engine; may be repeated");
    add("direct", options::bool_switch(), "send requests to the engines instead of the hosts");
    add("shape", options::value<std::string>()->default_value("bluegum"), "bluegum, lanka or ping");
    add("rate", options::value<double>()->default_value(0), "requests per second");
    add("load", options::value<double>()->default_value(0),
        "rate as a share of the capacity of the engines given by --prefill and --decode");
    add("seconds", options::value<double>()->default_value(10),
        "time during which requests arrive, in seconds");
    add("seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the generated requests");
    add("concurrency", options::value<std::size_t>()->default_value(0),
        "number of concurrent requests in a closed loop; 0 for an open loop");
    add("speed", options::value<double>()->default_value(1), "speed factor of the engines");
    add("patience", options::value<double>()->default_value(120),
        "request timeout in seconds at speed 1");
    add("intervals", options::value<std::string>()->default_value("p95"),
        "statistic of a request's token intervals that has to meet the target: p95 or mean");
    add("honour-retry-after", options::bool_switch(), "retry when a refusal states a retry time");
    add("workers", options::value<std::size_t>()->default_value(2), "worker threads");
    return described;
}

auto endpoints_of(options::variables_map const& given, char const* name)
    -> std::vector<base::endpoint> {
    auto read = std::vector<base::endpoint>{};
    if (given.count(name) == 0) {
        return read;
    }
    for (auto const& text : given[name].as<texts>()) {
        auto const address = standin::parse_endpoint(text);
        if (!address) {
            throw options::validation_error{options::validation_error::invalid_option_value, name,
                                            text};
        }
        read.push_back(*address);
    }
    return read;
}

auto destinations_of(options::variables_map const& given) -> std::vector<request_destination> {
    auto destinations = std::vector<request_destination>{};
    if (!given["direct"].as<bool>()) {
        auto const service = base::service_id{given["service"].as<std::string>()};
        for (auto const& host : endpoints_of(given, "target")) {
            destinations.emplace_back(host_destination{host, service});
        }
        return destinations;
    }
    auto const prefills = endpoints_of(given, "prefill");
    auto const decodes = endpoints_of(given, "decode");
    for (auto number = std::size_t{0}; number < prefills.size() * decodes.size(); ++number) {
        destinations.emplace_back(engine_destination{prefills[number % prefills.size()],
                                                     decodes[number / prefills.size()]});
    }
    return destinations;
}

// The rate from --rate, or from --load as a share of the engines' capacity.
auto rate_of(options::variables_map const& given, traffic_shape shape) -> request_rate {
    auto const share = given["load"].as<double>();
    if (share <= 0) {
        return request_rate{std::max(given["rate"].as<double>(), 1e-3)};
    }
    auto pool = engine_pool{};
    pool.prefill_engines = std::ssize(endpoints_of(given, "prefill"));
    pool.decode_engines = std::ssize(endpoints_of(given, "decode"));
    auto const found = capacity_of(pool, shape);
    auto const speed = given["speed"].as<double>();
    fmt::print("prefill_capacity_per_s {:.2f}\n", found.prefill.per_second * speed);
    fmt::print("decode_capacity_per_s {:.2f}\n", found.decode.per_second * speed);
    return request_rate{found.requests().per_second * share * speed};
}

auto scaled(base::duration span, double speed) -> base::duration {
    return base::from_seconds(base::to_seconds(span) / speed);
}

auto targets_of(options::variables_map const& given) -> latency_targets {
    auto const speed = given["speed"].as<double>();
    auto targets = latency_targets{};
    targets.first_token = scaled(targets.first_token, speed);
    targets.batch_first_token = scaled(targets.batch_first_token, speed);
    targets.between_tokens = scaled(targets.between_tokens, speed);
    auto const by_mean = given["intervals"].as<std::string>() == "mean";
    targets.measure = by_mean ? interval_measure::mean : interval_measure::percentile_95;
    return targets;
}

auto settings_of(options::variables_map const& given, traffic_shape shape) -> load_settings {
    auto settings = load_settings{};
    settings.destinations = destinations_of(given);
    settings.shape = shape;
    settings.rate = rate_of(given, shape);
    settings.seed = given["seed"].as<std::uint64_t>();
    settings.span = base::from_seconds(given["seconds"].as<double>());
    settings.concurrency = given["concurrency"].as<std::size_t>();
    settings.request_timeout =
        base::from_seconds(given["patience"].as<double>() / given["speed"].as<double>());
    settings.sending.honours_retry_after = given["honour-retry-after"].as<bool>();
    return settings;
}

auto stats_now(runtime::worker_pool& pool, std::vector<base::endpoint> const& engines)
    -> prefill_stats {
    auto read = std::promise<prefill_stats>{};
    pool.spawn([&] { read.set_value(read_prefill_stats(engines)); });
    return read.get_future().get();
}

auto run(options::variables_map const& given) -> int {
    auto const shape = parse_shape(given["shape"].as<std::string>());
    if (!shape) {
        std::cerr << "unknown shape\n";
        return exit_usage;
    }
    auto const settings = settings_of(given, *shape);
    if (settings.destinations.empty()) {
        std::cerr << "--target is required, or --direct with --prefill and --decode\n";
        return exit_usage;
    }
    auto engines = endpoints_of(given, "prefill");
    auto const decodes = endpoints_of(given, "decode");
    engines.insert(engines.end(), decodes.begin(), decodes.end());
    auto pool = runtime::worker_pool{runtime::worker_count{given["workers"].as<std::size_t>()}};
    auto const before = stats_now(pool, engines);
    auto const result = summarise(run_load(pool, settings), targets_of(given));
    fmt::print(std::cout, "shape {}\nintervals {}\n", name_of(*shape),
               given["intervals"].as<std::string>());
    write_report(std::cout, result, settings.span);
    if (!engines.empty()) {
        write_report(std::cout, stats_now(pool, engines) - before);
    }
    std::cout << std::flush;
    std::_Exit(EXIT_SUCCESS);
}

}  // namespace
}  // namespace linnetlane::load

auto main(int argc, char** argv) -> int {
    namespace options = boost::program_options;
    auto const described = linnetlane::load::describe();
    auto given = options::variables_map{};
    try {
        options::store(options::parse_command_line(argc, argv, described), given);
        if (given.count("help") > 0) {
            std::cout << described;
            return EXIT_SUCCESS;
        }
        return linnetlane::load::run(given);
    } catch (options::error const& wrong) {
        std::cerr << wrong.what() << '\n';
        return linnetlane::load::exit_usage;
    }
}
