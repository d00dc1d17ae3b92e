#include "linnetlane/load/generator.h"

#include <boost/test/unit_test.hpp>

#include "linnetlane/load/prefill_stats.h"
#include "linnetlane/standin/engine_server.h"
#include "linnetlane/standin/server_test_support.h"

namespace linnetlane::load {
namespace {

// Runs 100 times as fast, but keeps prefill results for 5 minutes so that they do not expire on a
// busy machine.
auto fast_engine() -> standin::engine_settings {
    auto settings = standin::scaled(standin::engine_settings{}, 100);
    settings.result_kept = std::chrono::minutes{5};
    return settings;
}

struct engines_fixture : standin::pool_fixture {
    standin::engine_server prefill{this->pool, standin::loopback, fast_engine()};
    standin::engine_server decode{this->pool, standin::loopback, fast_engine()};
    load_settings settings;

    engines_fixture() {
        this->settings.destinations = {
            engine_destination{this->prefill.address(), this->decode.address()}};
        this->settings.rate = request_rate{200};
        this->settings.span = std::chrono::milliseconds{200};
    }

    auto outcomes() -> std::vector<request_outcome> { return run_load(this->pool, this->settings); }
    auto control(nlohmann::json const& body) -> void {
        this->in_fiber(
            [&] { standin::call(this->decode.address(), standin::post("/control", body)); });
    }
};

BOOST_FIXTURE_TEST_CASE(every_planned_request_ends_with_its_whole_answer, engines_fixture) {
    auto const ended = this->outcomes();
    auto plan = traffic_plan{traffic_shape::bluegum, request_rate{200}, 1};
    auto planned = std::ptrdiff_t{0};
    while (plan.next().arrival < this->settings.span) {
        ++planned;
    }
    BOOST_TEST(std::ssize(ended) == planned);
    for (auto const& outcome : ended) {
        BOOST_TEST(name_of(outcome.end) == name_of(request_end::whole));
        BOOST_TEST(std::ssize(outcome.intervals) == outcome.output_tokens.value - 1);
    }
    this->in_fiber([&] {
        auto const stats = read_prefill_stats({this->prefill.address()});
        BOOST_TEST(stats.prefilled > 0);
        BOOST_TEST(stats.wasted == 0);
        BOOST_TEST(stats.unresponsive_engines == 0);
    });
}

BOOST_FIXTURE_TEST_CASE(double_and_cut_answers_are_told_apart, engines_fixture) {
    this->settings.span = std::chrono::milliseconds{50};
    this->control({{"duplicate_each", 2}});
    for (auto const& outcome : this->outcomes()) {
        BOOST_TEST(name_of(outcome.end) == name_of(request_end::wrong));
    }
    this->control({{"duplicate_each", 0}, {"cut_after", 3}});
    for (auto const& outcome : this->outcomes()) {
        BOOST_TEST(name_of(outcome.end) == name_of(request_end::broken));
    }
    this->control({{"cut_after", 0}, {"refuse", true}});
    for (auto const& outcome : this->outcomes()) {
        BOOST_TEST(outcome.error_type == "overloaded");
    }
}

}  // namespace
}  // namespace linnetlane::load
