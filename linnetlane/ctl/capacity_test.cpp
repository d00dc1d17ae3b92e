#include "linnetlane/ctl/capacity.h"

#include <algorithm>
#include <fstream>
#include <iterator>
#include <string>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::ctl {
namespace {

auto committed_text() -> std::string {
    auto file = std::ifstream{LINNETLANE_SLOPES_FILE};
    return {std::istreambuf_iterator<char>{file}, {}};
}

auto committed_slopes() -> slope_table {
    auto const parsed = parse_slopes(committed_text());
    BOOST_REQUIRE(base::succeeded(parsed));
    return base::value_of(parsed);
}

auto unit_slopes() -> slope_table {
    auto slopes = slope_table{};
    slopes.values.fill({1, true, "by hand"});
    return slopes;
}

auto term_of(control_load const& load, std::string_view role, std::string_view name)
    -> control_term {
    for (auto const& term : load.terms) {
        if (term.role == role && term.name == name) {
            return term;
        }
    }
    BOOST_FAIL("no such term");
    return {};
}

BOOST_AUTO_TEST_CASE(the_committed_slopes_are_complete) {
    auto const slopes = committed_slopes();
    BOOST_TEST(slopes[slope::probe_period_s] == 0.25);
    for (auto const& value : slopes.values) {
        BOOST_TEST((!value.measured || !value.source.empty()));
    }
}

BOOST_AUTO_TEST_CASE(a_missing_or_unknown_slope_is_named) {
    auto const missing = parse_slopes("[other]\nvalue = 1\n");
    auto const* const problems = base::failure_of(missing);
    BOOST_REQUIRE(problems != nullptr);
    BOOST_TEST(problems->size() == slope_count + 1);
    BOOST_TEST(problems->front().key == "request_decision_us");
    BOOST_TEST(problems->back().key == "other");
}

BOOST_AUTO_TEST_CASE(the_terms_of_a_small_deployment_match_hand_computed_values) {
    auto size = deployment_size{};
    size.hosts = 4;
    size.upstreams = 8;
    size.data_centres = 2;
    size.upstreams_per_cell = 2;
    size.requests_per_second = 40;
    size.output_tokens_per_second = 400;
    size.seconds_between_tokens = 0.1;
    auto const load = estimate_control_load(size, unit_slopes());
    // 10 requests per second and host, each of 10 tokens and thus 1 s: 10 in progress.
    auto const acquisition = term_of(load, "entry", "acquire, grant, release");
    BOOST_TEST(acquisition.messages_per_second == 30);
    BOOST_TEST(acquisition.bytes_per_second == 30);
    BOOST_TEST(acquisition.memory_bytes == 10);
    // 4 cells, 2 of them in the data centre: 2 messages, 2 answers and 10 renewals per second.
    auto const renewals = term_of(load, "entry", "renewals of grants");
    BOOST_TEST(renewals.messages_per_second == 4);
    BOOST_TEST(renewals.bytes_per_second == 14);
    auto slower_slopes = unit_slopes();
    slower_slopes.values[static_cast<std::size_t>(slope::renew_period_s)].value = 2;
    auto const slower_renewals =
        term_of(estimate_control_load(size, slower_slopes), "entry", "renewals of grants");
    BOOST_TEST(slower_renewals.messages_per_second == 2);
    BOOST_TEST(slower_renewals.bytes_per_second == 7);
    // One cell per keeper, with 2 upstreams and 2 hosts that hold grants.
    BOOST_TEST(term_of(load, "keeper", "load reports of upstreams").messages_per_second == 2);
    BOOST_TEST(term_of(load, "keeper", "renewals of grants").messages_per_second == 4);
}

BOOST_AUTO_TEST_CASE(an_unmeasured_slope_marks_the_terms_that_use_it) {
    auto slopes = unit_slopes();
    slopes.values[static_cast<std::size_t>(slope::probe_bytes)].measured = false;
    auto const load = estimate_control_load(deployment_size{}, slopes);
    auto const probes = term_of(load, "member", "probes");
    BOOST_TEST(
        (unmeasured_slopes(probes.used, slopes) == std::vector<std::string_view>{"probe_bytes"}));
    BOOST_TEST(unmeasured_slopes(term_of(load, "keeper", "decisions").used, slopes).empty());
}

auto same_amounts(control_term const& left, control_term const& right) -> bool {
    return left.messages_per_second == right.messages_per_second &&
           left.bytes_per_second == right.bytes_per_second && left.cores == right.cores &&
           left.memory_bytes == right.memory_bytes;
}

BOOST_AUTO_TEST_CASE(a_term_depends_on_exactly_the_slopes_that_it_lists) {
    auto const before = estimate_control_load(deployment_size{}, unit_slopes());
    for (auto index = std::size_t{0}; index < slope_count; ++index) {
        auto const which = static_cast<slope>(index);
        auto slopes = unit_slopes();
        slopes.values[index].value = 2;
        auto const after = estimate_control_load(deployment_size{}, slopes);
        for (auto term = std::size_t{0}; term < before.terms.size(); ++term) {
            auto const& used = before.terms[term].used;
            auto const is_listed = std::count(used.begin(), used.end(), which) > 0;
            BOOST_TEST_CONTEXT(name_of(which) << " in " << before.terms[term].name) {
                BOOST_TEST(same_amounts(before.terms[term], after.terms[term]) != is_listed);
            }
        }
    }
}

RC_BOOST_PROP(more_hosts_mean_less_request_traffic_per_host, ()) {
    auto few = deployment_size{};
    few.hosts = *rc::gen::inRange(7, 1000);
    auto many = few;
    many.hosts += *rc::gen::inRange(1, 1000);
    auto const slopes = committed_slopes();
    auto const name = "acquire, grant, release";
    RC_ASSERT(term_of(estimate_control_load(many, slopes), "entry", name).bytes_per_second <
              term_of(estimate_control_load(few, slopes), "entry", name).bytes_per_second);
}

}  // namespace
}  // namespace linnetlane::ctl
