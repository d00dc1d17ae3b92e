#include "linnetlane/standin/plain_server.h"

#include "linnetlane/standin/server_test_support.h"

namespace linnetlane::standin {
namespace {

using json = nlohmann::json;

auto notice(std::string const& key) -> runtime::http_request {
    auto request = runtime::http_request{"PUT", "/jobs/7", {}, "defect"};
    request.fields.add("Idempotency-Key", key);
    request.fields.add("X-Request-Id", "r-" + key);
    return request;
}

BOOST_FIXTURE_TEST_CASE(runs_are_counted_by_key_also_when_the_answer_is_lost, pool_fixture) {
    auto const server = plain_server{this->pool, loopback};
    auto const at = server.address();
    this->in_fiber([&] {
        BOOST_TEST(call_json(at, notice("a"))["body"] == "defect");
        call(at, post("/control", json{{"lose_answers", 1}}));
        BOOST_TEST(call(at, notice("a")).status == 0);
        call(at, post("/control", json{{"fail", 1}}));
        BOOST_TEST(call(at, notice("b")).status == 500);
        auto const stats = call_json(at, get("/stats"));
        BOOST_TEST(stats["by_idempotency_key"] == (json{{"a", 2}, {"b", 1}}));
        BOOST_TEST(stats["by_request_id"] == (json{{"r-a", 2}, {"r-b", 1}}));
    });
}

BOOST_FIXTURE_TEST_CASE(a_refused_or_cut_call_did_not_run, pool_fixture) {
    auto const server = plain_server{this->pool, loopback};
    auto const at = server.address();
    this->in_fiber([&] {
        call(at, post("/control", json{{"refuse", 1}, {"cut", 1}, {"leaving", true}}));
        BOOST_TEST(call(at, notice("a")).status == 0);
        auto const refused = call(at, notice("a"));
        BOOST_TEST(refused.status == 503);
        BOOST_TEST(refused.fields.find("x-leaving").value_or("") == "true");
        BOOST_TEST(call_json(at, get("/stats"))["runs"] == 0);
    });
}

}  // namespace
}  // namespace linnetlane::standin
