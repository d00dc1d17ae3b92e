// Each accepted request gets its whole answer exactly once, and engines hold no memory afterwards.

#include <csignal>
#include <numeric>
#include <string>

#include <boost/test/unit_test.hpp>

#include "linnetlane/system/cluster.h"

namespace linnetlane::system {
namespace {

constexpr auto answer_tokens = 60;

// Two hosts in front of one prefill engine and two decode engines.
struct deployment {
    cluster servers;

    deployment() {
        this->servers.start_platform();
        this->servers.start_engines({{"p1", "prefill"}, {"d1", "decode"}, {"d2", "decode"}});
        this->servers.start_hosts({{"north-1", "bne-north"}, {"north-2", "bne-north"}});
        this->servers.apply("finding", this->servers.model_document("finding"));
        this->servers.await_serving("north-1");
        this->servers.await_serving("north-2");
    }

    [[nodiscard]] auto held() -> std::int64_t {
        return this->servers.pieces_held("p1") + this->servers.pieces_held("d1") +
               this->servers.pieces_held("d2");
    }
    // A decode engine that holds memory of a request; empty if there is none.
    [[nodiscard]] auto busy_engine() -> std::string {
        for (auto const* const name : {"d1", "d2"}) {
            if (this->servers.pieces_held(name) > 0) {
                return name;
            }
        }
        return {};
    }
};

// Whether the answer is whole, with each token once and in order.
auto is_complete_and_in_order(completion const& answer) -> bool {
    auto expected = std::vector<std::int64_t>(answer_tokens);
    std::iota(expected.begin(), expected.end(), std::int64_t{0});
    return answer.complete && answer.offsets == expected;
}

BOOST_FIXTURE_TEST_CASE(an_answer_comes_whole_from_every_host, deployment) {
    auto const first = this->servers.complete("north-1", {"trench 17", answer_tokens, {}});
    auto const second = this->servers.complete("north-2", {"trench 17", answer_tokens, {}});
    BOOST_TEST(is_complete_and_in_order(first));
    BOOST_TEST(is_complete_and_in_order(second));
    BOOST_TEST(first.text == second.text);
    BOOST_TEST(cluster::eventually([&] { return this->held() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(an_answer_goes_on_after_its_decode_engine_died, deployment) {
    auto const undisturbed = this->servers.complete("north-1", {"trench 18", answer_tokens, {}});
    auto answer = this->servers.begin_complete("north-1", {"trench 18", answer_tokens, {}});
    auto busy = std::string{};
    BOOST_REQUIRE(cluster::eventually([&] { return !(busy = this->busy_engine()).empty(); }));
    this->servers.at(busy).kill();
    auto const received = answer.get();
    BOOST_TEST(is_complete_and_in_order(received));
    BOOST_TEST(received.text == undisturbed.text);
}

BOOST_FIXTURE_TEST_CASE(late_duplicate_and_crossed_parts_never_reach_the_caller, deployment) {
    auto const undisturbed = this->servers.complete("north-1", {"trench 19", answer_tokens, {}});
    for (auto const* const engine : {"d1", "d2"}) {
        this->servers.control(engine, {{"duplicate_each", 3}, {"cross_each", 4}, {"late_ms", 5}});
    }
    auto const answer = this->servers.complete("north-2", {"trench 19", answer_tokens, {}});
    BOOST_TEST(is_complete_and_in_order(answer));
    BOOST_TEST(answer.text == undisturbed.text);
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_left_frees_the_engines, deployment) {
    this->servers.abandon("north-1", {"trench 20", 2000, {}}, 3);
    BOOST_TEST(cluster::eventually([&] { return this->held() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(a_caller_that_left_frees_the_engines_though_the_cancel_is_lost,
                        deployment) {
    for (auto const* const engine : {"p1", "d1", "d2"}) {
        this->servers.control(engine, {{"lose_cancels", 100}});
    }
    this->servers.abandon("north-2", {"trench 21", 2000, {}}, 3);
    BOOST_TEST(cluster::eventually([&] { return this->held() == 0; }));
}

BOOST_FIXTURE_TEST_CASE(a_killed_host_leaves_nothing_in_the_engines, deployment) {
    for (auto const* const engine : {"p1", "d1", "d2"}) {
        this->servers.control(engine, {{"lose_cancels", 100}});
    }
    auto lost = this->servers.begin_complete("north-2", {"trench 22", 5000, {}});
    BOOST_REQUIRE(cluster::eventually([&] { return !this->busy_engine().empty(); }));
    this->servers.at("north-2").kill();
    BOOST_TEST(!lost.get().complete);
    BOOST_TEST(cluster::eventually([&] { return this->held() == 0; }));
    this->servers.await_serving("north-1");
}

BOOST_FIXTURE_TEST_CASE(a_frozen_host_loses_its_grants_and_serves_again_once_awake, deployment) {
    auto const busy_host = std::string{"north-2"};
    for (auto const* const engine : {"p1", "d1", "d2"}) {
        this->servers.control(engine, {{"lose_cancels", 100}});
    }
    auto frozen = this->servers.begin_complete(busy_host, {"trench 23", 5000, {}});
    BOOST_REQUIRE(cluster::eventually([&] { return !this->busy_engine().empty(); }));
    this->servers.at(busy_host).signal(SIGSTOP);
    BOOST_TEST(cluster::eventually([&] { return this->held() == 0; }));
    this->servers.at(busy_host).signal(SIGCONT);
    this->servers.await_serving(busy_host);
    this->servers.await_serving("north-1");
}

}  // namespace
}  // namespace linnetlane::system
