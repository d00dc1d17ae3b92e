// A graceful shutdown cuts off no request, and an upstream that is leaving gets no new work.

#include <csignal>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "linnetlane/system/cluster.h"

namespace linnetlane::system {
namespace {

constexpr auto answer_tokens = 150;
constexpr auto status_ok = 200;

struct deployment {
    cluster servers;

    deployment() {
        this->servers.start_platform();
        this->servers.start_engines({{"p1", "prefill"}, {"d1", "decode"}, {"d2", "decode"}});
        this->servers.start_plain("jobs-1");
        this->servers.start_plain("jobs-2");
        this->servers.start_hosts({{"north-1", "bne-north"}, {"north-2", "bne-north"}});
        this->servers.apply("finding", this->servers.model_document("finding"));
        this->servers.apply("jobs", this->servers.plain_document("jobs"));
        this->servers.await_serving("north-1");
        this->servers.await_serving("north-2");
    }

    // The number of requests or calls that an engine or instance has started so far.
    [[nodiscard]] auto runs_at(std::string const& name) -> std::size_t {
        auto const stats = this->servers.stats(name);
        return stats["runs"].is_number() ? stats["runs"].get<std::size_t>() : stats["runs"].size();
    }
    auto call_jobs(std::string const& host) -> int {
        auto const answer =
            this->servers.call(this->servers.address(host), {"GET", "/jobs/trench", {}, {}});
        return base::succeeded(answer) ? base::value_of(answer).status : 0;
    }
};

BOOST_FIXTURE_TEST_CASE(a_graceful_shutdown_finishes_every_stream_and_refuses_none, deployment) {
    auto early = std::vector<std::future<completion>>{};
    for (auto number = 0; number < 4; ++number) {
        early.push_back(this->servers.begin_complete(
            "north-1", {"before " + std::to_string(number), answer_tokens, {}}));
    }
    BOOST_REQUIRE(cluster::eventually([&] { return this->servers.pieces_held("d1") > 0; }));
    this->servers.at("north-1").signal(SIGTERM);
    // The load balancer has not noticed the shutdown and still sends requests.
    auto late = this->servers.begin_complete("north-1", {"during", answer_tokens, {}});
    this->servers.at("north-1").signal(SIGTERM);
    for (auto& answer : early) {
        auto const received = answer.get();
        BOOST_TEST(received.complete);
        BOOST_TEST(received.offsets.size() == static_cast<std::size_t>(answer_tokens));
    }
    auto const last = late.get();
    BOOST_TEST(last.complete, "status " << last.status << ", error " << last.error.dump());
    BOOST_TEST((this->servers.at("north-1").wait() == std::optional{0}));
    this->servers.await_serving("north-2");
}

BOOST_FIXTURE_TEST_CASE(a_leaving_host_tells_the_balancer, deployment) {
    this->servers.at("north-1").signal(SIGTERM);
    BOOST_TEST(cluster::eventually([&] {
        auto const answer =
            this->servers.call(this->servers.operators("north-1"), {"GET", "/readyz", {}, {}});
        return !base::succeeded(answer) || base::value_of(answer).status != status_ok;
    }));
}

BOOST_FIXTURE_TEST_CASE(an_engine_that_says_it_leaves_gets_no_new_work_with_the_platform_out,
                        deployment) {
    this->servers.control("platform", {{"outage", "refuse"}});
    this->servers.control("d1", {{"leaving", true}});
    // The leaving mark is known once the first host that reports the reachability of d1 reports it
    // as unreachable; no request may go to d1 from then on.
    auto const is_marked = [&] {
        auto const list = this->servers.get(this->servers.operators("north-1"), "/v1/upstreams");
        auto const other = this->servers.get(this->servers.operators("north-2"), "/v1/upstreams");
        for (auto const& rows : {list["upstreams"], other["upstreams"]}) {
            for (auto const& row : rows) {
                if (row["upstream"] == "d1" && row["reachable"].is_boolean()) {
                    return !row["reachable"].get<bool>();
                }
            }
        }
        return false;
    };
    BOOST_REQUIRE(cluster::eventually(is_marked));
    auto const before = this->runs_at("d1");
    for (auto number = 0; number < 12; ++number) {
        auto const* const host = number % 2 == 0 ? "north-1" : "north-2";
        BOOST_TEST(
            this->servers.complete(host, {"work " + std::to_string(number), 5, {}}).complete);
    }
    BOOST_TEST(this->runs_at("d1") == before);
}

BOOST_FIXTURE_TEST_CASE(an_instance_that_says_it_leaves_gets_no_new_calls_from_any_host,
                        deployment) {
    this->servers.control("jobs-1", {{"leaving", true}});
    // Once a round of calls through both hosts has not reached jobs-1, the mark is known to both.
    auto const gets_no_calls = [&] {
        auto const before = this->runs_at("jobs-1");
        for (auto number = 0; number < 20; ++number) {
            this->call_jobs(number % 2 == 0 ? "north-1" : "north-2");
        }
        return this->runs_at("jobs-1") == before;
    };
    BOOST_REQUIRE(cluster::eventually(gets_no_calls));
    auto const before = this->runs_at("jobs-1");
    for (auto number = 0; number < 100; ++number) {
        BOOST_TEST(this->call_jobs(number % 2 == 0 ? "north-1" : "north-2") == status_ok);
    }
    BOOST_TEST(this->runs_at("jobs-1") == before);
}

}  // namespace
}  // namespace linnetlane::system
