#include "linnetlane/standin/relay.h"

#include "linnetlane/standin/plain_server.h"
#include "linnetlane/standin/relay_control.h"
#include "linnetlane/standin/server_test_support.h"

namespace linnetlane::standin {
namespace {

using json = nlohmann::json;

// Whether a call gets no response within 100 ms.
auto gets_no_response(base::endpoint const& at) -> bool {
    auto const soon = base::monotonic_clock::now() + std::chrono::milliseconds{100};
    return !base::succeeded(
        runtime::fetch(at, get("/healthz"), runtime::connection_use::fresh, soon));
}

struct relay_fixture : pool_fixture {
    plain_server plain{this->pool, loopback};
    relay links{this->pool};
    base::endpoint at = this->links.add(loopback, this->plain.address());
    std::unique_ptr<runtime::http_server> control =
        serve_relay_control(this->pool, loopback, this->links);

    auto set(char const* mode) -> int {
        return call(this->control->address(),
                    post("/control", json{{"mode", mode}, {"port", this->at.port}}))
            .status;
    }
    auto runs() -> std::int64_t {
        return call_json(this->plain.address(), get("/stats"))["runs"].get<std::int64_t>();
    }
};

BOOST_FIXTURE_TEST_CASE(an_open_link_passes_both_ways_and_a_cut_one_nothing, relay_fixture) {
    this->in_fiber([&] {
        BOOST_TEST(call(this->at, get("/a")).status == 200);
        BOOST_TEST(this->set("cut") == 200);
        BOOST_TEST(call(this->at, get("/a")).status == 0);
        BOOST_TEST(this->set("open") == 200);
        BOOST_TEST(call(this->at, get("/a")).status == 200);
        BOOST_TEST(this->set("sideways") == 400);
    });
}

BOOST_FIXTURE_TEST_CASE(a_link_cut_one_way_still_passes_the_other, relay_fixture) {
    this->in_fiber([&] {
        this->set("cut_to_client");
        BOOST_TEST(gets_no_response(this->at));
        auto const soon = base::monotonic_clock::now() + std::chrono::milliseconds{100};
        BOOST_TEST(!base::succeeded(
            runtime::fetch(this->at, get("/a"), runtime::connection_use::fresh, soon)));
        wait_until([&] { return this->runs() == 1; });
        this->set("cut_to_target");
        BOOST_TEST(gets_no_response(this->at));
        BOOST_TEST(this->runs() == 1);
    });
}

BOOST_FIXTURE_TEST_CASE(a_stalled_link_goes_on_where_it_stopped, relay_fixture) {
    this->in_fiber([&] {
        this->set("stall");
        auto status = std::promise<int>{};
        auto answered = status.get_future();
        this->pool.spawn([&] { status.set_value(call(this->at, get("/a")).status); });
        BOOST_TEST(gets_no_response(this->at));
        BOOST_TEST(this->runs() == 0);
        this->set("unstall");
        wait_until([&] {
            return answered.wait_for(std::chrono::seconds{0}) == std::future_status::ready;
        });
        BOOST_TEST(answered.get() == 200);
    });
}

}  // namespace
}  // namespace linnetlane::standin
