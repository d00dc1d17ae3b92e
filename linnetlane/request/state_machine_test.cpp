#include "linnetlane/request/state_machine.h"

#include <optional>

#include <boost/test/unit_test.hpp>

namespace linnetlane::request {
namespace {

using namespace std::chrono_literals;

auto const begin = base::time_point{} + 1h;

// A request whose prefill is done and whose decode was sent to the engine `d1`.
struct fixture {
    fixture() {
        this->take(this->machine.start(begin));
        this->grant(base::upstream_id{"d1"}, true);
        this->feed(prefill_done{this->asked.attempt, {}});
    }

    static auto make_spec() -> request_spec {
        auto spec = request_spec{};
        spec.id = base::request_id{7, 8};
        spec.prompt = base::token_count{10};
        spec.output_bound = base::token_count{5};
        spec.first_token_deadline = begin + 2s;
        spec.answer_deadline = begin + 60s;
        return spec;
    }

    auto feed(event const& received, base::time_point now = begin) -> void {
        this->take(this->machine.handle(received, now));
    }

    auto grant(base::upstream_id const& decode, bool with_prefill) -> void {
        auto granted = cell::grant{};
        granted.attempt = this->asked.attempt;
        granted.decode = decode;
        granted.prefill_start = begin;
        granted.deadline = begin + 30s;
        if (with_prefill) {
            granted.prefill = base::upstream_id{"p"};
        }
        this->feed(granted);
    }

    auto take(commands const& issued) -> void {
        for (auto const& command : issued) {
            if (auto const* const ask = std::get_if<send_acquire>(&command)) {
                this->asked = ask->acquire;
            }
        }
    }

    retry_budget budget;
    state_machine machine{make_spec(), step_timeouts{}, budget};
    cell::acquire asked;
};

BOOST_FIXTURE_TEST_CASE(a_stalled_transfer_goes_to_another_decode_engine, fixture) {
    this->feed(transfer_stalled{this->asked.attempt});
    BOOST_TEST((this->asked.kept_by == base::upstream_id{"p"}));
    BOOST_TEST_REQUIRE(this->asked.avoid.size() == 1U);
    BOOST_TEST(this->asked.avoid.front() == base::upstream_id{"d1"});
}

BOOST_FIXTURE_TEST_CASE(a_result_that_two_engines_fail_to_import_is_prefilled_again, fixture) {
    this->feed(decode_failed{this->asked.attempt});
    BOOST_TEST(this->asked.kept_by.has_value());
    this->grant(base::upstream_id{"d2"}, false);
    this->feed(transfer_stalled{this->asked.attempt});
    BOOST_TEST(!this->asked.kept_by.has_value());
    BOOST_TEST_REQUIRE(this->asked.avoid.size() == 1U);
    BOOST_TEST(this->asked.avoid.front() == base::upstream_id{"d1"});
}

}  // namespace
}  // namespace linnetlane::request
