// A call that may not be repeated runs at most once, and a call refused as "not run" has not run.

#include <csignal>
#include <future>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "linnetlane/system/cluster.h"

namespace linnetlane::system {
namespace {

constexpr auto status_ok = 200;

struct deployment {
    cluster servers;

    deployment() {
        this->servers.start_platform();
        this->servers.start_plain("jobs-1");
        this->servers.start_hosts(
            {{"north-1", "bne-north"}, {"north-2", "bne-north"}, {"south-1", "bne-south"}});
        this->servers.apply("jobs", this->servers.plain_document("jobs"));
    }

    [[nodiscard]] static auto notice(std::string const& key) -> runtime::http_request {
        auto request = runtime::http_request{"POST", "/jobs/notice", {}, "lodge"};
        if (!key.empty()) {
            request.fields.add("idempotency-key", key);
        }
        return request;
    }
    [[nodiscard]] auto runs(std::string const& key) -> int {
        auto const stats = this->servers.stats("jobs-1");
        return stats["by_idempotency_key"].value(key, 0);
    }
    [[nodiscard]] auto all_runs() -> int { return this->servers.stats("jobs-1").value("runs", 0); }
    // The outcome that the response states: `run`, `not_run` or `unknown`; `none` if it states none
    // or there is no response.
    [[nodiscard]] static auto outcome_of(
        base::result<runtime::http_response, runtime::http_failure> const& answer) -> std::string {
        if (!base::succeeded(answer)) {
            return "none";
        }
        auto const& response = base::value_of(answer);
        if (response.status == status_ok) {
            return "run";
        }
        auto const body = nlohmann::json::parse(response.body, nullptr, false);
        return body.is_object() ? body["error"].value("outcome", "none") : "none";
    }
};

BOOST_FIXTURE_TEST_CASE(one_key_at_three_hosts_at_once_runs_once, deployment) {
    auto answers = std::vector<std::future<std::string>>{};
    for (auto const* const host : {"north-1", "north-2", "south-1", "north-1", "south-1"}) {
        answers.push_back(std::async(std::launch::async, [this, host] {
            return outcome_of(this->servers.call(this->servers.address(host), notice("key-1")));
        }));
    }
    auto ran = 0;
    for (auto& answer : answers) {
        ran += answer.get() == "run" ? 1 : 0;
    }
    BOOST_TEST(ran >= 1);
    BOOST_TEST(this->runs("key-1") == 1);
}

BOOST_FIXTURE_TEST_CASE(a_repeated_call_gets_the_first_answer_on_another_host, deployment) {
    auto const first = this->servers.call(this->servers.address("north-1"), notice("key-2"));
    BOOST_REQUIRE(outcome_of(first) == "run");
    auto const stored = [&] {
        auto const again = this->servers.call(this->servers.address("south-1"), notice("key-2"));
        return outcome_of(again) == "run" &&
               base::value_of(again).body == base::value_of(first).body;
    };
    BOOST_TEST(cluster::eventually(stored));
    BOOST_TEST(this->runs("key-2") == 1);
}

BOOST_FIXTURE_TEST_CASE(an_outage_refuses_claimed_calls_as_not_run_and_lets_reads_pass,
                        deployment) {
    this->servers.control("platform", {{"outage", "refuse"}});
    BOOST_TEST(outcome_of(this->servers.call(this->servers.address("north-1"), notice("key-3"))) ==
               "not_run");
    BOOST_TEST(this->runs("key-3") == 0);
    auto const read =
        this->servers.call(this->servers.address("north-2"), {"GET", "/jobs/17", {}, {}});
    BOOST_TEST(outcome_of(read) == "run");
}

BOOST_FIXTURE_TEST_CASE(a_claim_whose_answer_was_lost_runs_once, deployment) {
    this->servers.control("platform", {{"lose_answers", 1}});
    static_cast<void>(this->servers.call(this->servers.address("north-1"), notice("key-4")));
    static_cast<void>(this->servers.call(this->servers.address("north-2"), notice("key-4")));
    BOOST_TEST(this->runs("key-4") == 1);
}

BOOST_FIXTURE_TEST_CASE(a_call_without_a_key_whose_answer_is_lost_is_unknown_and_not_repeated,
                        deployment) {
    auto const before = this->all_runs();
    this->servers.control("jobs-1", {{"lose_answers", 1}});
    BOOST_TEST(outcome_of(this->servers.call(this->servers.address("north-1"), notice(""))) ==
               "unknown");
    BOOST_TEST(this->all_runs() == before + 1);
}

BOOST_FIXTURE_TEST_CASE(a_claimed_call_is_not_run_again_after_its_host_died, deployment) {
    this->servers.control("jobs-1", {{"delay_ms", 3000}});
    auto lost = std::async(std::launch::async, [this] {
        return outcome_of(this->servers.call(this->servers.address("north-1"), notice("key-5")));
    });
    BOOST_REQUIRE(cluster::eventually([&] { return this->all_runs() > 0; }));
    this->servers.at("north-1").kill();
    BOOST_TEST(lost.get() == "none");
    this->servers.control("jobs-1", {{"delay_ms", 0}});
    for (auto const* const host : {"north-2", "south-1"}) {
        auto const outcome =
            outcome_of(this->servers.call(this->servers.address(host), notice("key-5")));
        BOOST_TEST(outcome != "run");
        BOOST_TEST(outcome != "not_run");
    }
    BOOST_TEST(this->runs("key-5") == 1);
}

BOOST_FIXTURE_TEST_CASE(a_refused_connection_is_not_run_and_a_read_is_retried, deployment) {
    auto const before = this->all_runs();
    this->servers.control("jobs-1", {{"cut", 1}});
    auto const read =
        this->servers.call(this->servers.address("north-1"), {"GET", "/jobs/18", {}, {}});
    BOOST_TEST(outcome_of(read) == "run");
    BOOST_TEST(this->all_runs() == before + 1);
    this->servers.at("jobs-1").kill();
    BOOST_TEST(outcome_of(this->servers.call(this->servers.address("north-2"), notice(""))) ==
               "not_run");
}

}  // namespace
}  // namespace linnetlane::system
