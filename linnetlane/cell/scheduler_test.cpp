#include "linnetlane/cell/scheduler.h"

#include <chrono>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace linnetlane::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

auto const start_time = base::time_point{} + std::chrono::hours{1};

auto engine(std::string const& name, service::upstream_role role) -> service::upstream {
    auto made = service::upstream{};
    made.id = base::upstream_id{name};
    made.role = role;
    return made;
}

auto small_cell() -> configure {
    auto made = configure{};
    made.upstreams = {engine("p1", service::upstream_role::prefill),
                      engine("p2", service::upstream_role::prefill),
                      engine("d1", service::upstream_role::decode),
                      engine("d2", service::upstream_role::decode)};
    return made;
}

auto attempt_of(std::uint64_t number) -> attempt {
    return attempt{base::request_id{0, number}, base::attempt_number{1}};
}

auto const entry_host = holder{base::host_id{"entry-1"}, base::incarnation{1}};

auto make_acquire(std::uint64_t number, base::time_point now, std::int64_t prompt = 4000)
    -> acquire {
    auto made = acquire{};
    made.attempt = attempt_of(number);
    made.holder = entry_host;
    made.caller = base::caller_id{"caller"};
    made.prompt = base::token_count{prompt};
    made.output_bound = base::token_count{300};
    made.first_token_deadline = now + milliseconds{1800};
    return made;
}

auto make_release(std::uint64_t number, ending how = ending::completed) -> release {
    auto made = release{};
    made.attempt = attempt_of(number);
    made.holder = entry_host;
    made.ending = how;
    return made;
}

template <typename Command>
auto commands_of(std::vector<command> const& commands) -> std::vector<Command> {
    auto found = std::vector<Command>{};
    for (auto const& one : commands) {
        if (auto const* match = std::get_if<Command>(&one)) {
            found.push_back(*match);
        }
    }
    return found;
}

struct fixture {
    scheduler cell{scheduler_options{}};
    base::time_point now = start_time;

    fixture() { this->cell.handle(small_cell(), this->now); }

    auto send(event const& what) -> std::vector<command> {
        return this->cell.handle(what, this->now);
    }
    auto committed_pieces() -> std::int64_t {
        auto sum = std::int64_t{0};
        for (auto const& one : this->cell.snapshot().upstreams) {
            sum += one.used.value + one.booked.value;
        }
        return sum;
    }
};

BOOST_FIXTURE_TEST_CASE(an_acquire_is_granted_with_a_decode_place_of_its_size, fixture) {
    auto const grants = commands_of<grant>(this->send(make_acquire(1, this->now)));
    BOOST_TEST_REQUIRE(grants.size() == 1U);
    BOOST_TEST(grants[0].pieces == base::piece_count{3});
    BOOST_TEST(grants[0].prefill.has_value());
    BOOST_TEST(grants[0].ready);
    BOOST_TEST(this->committed_pieces() == 3);
}

BOOST_FIXTURE_TEST_CASE(a_release_with_clear_engines_frees_the_pieces_at_once, fixture) {
    this->send(make_acquire(1, this->now));
    BOOST_TEST(this->send(make_release(1)).empty());
    BOOST_TEST(this->committed_pieces() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_release_with_unclear_engines_frees_only_after_the_abort, fixture) {
    auto const granted = commands_of<grant>(this->send(make_acquire(1, this->now)));
    auto unclear = make_release(1, ending::cancelled);
    unclear.engines_clear = false;
    auto const sent = commands_of<abort>(this->send(unclear));
    BOOST_TEST(sent.size() == 2U);
    BOOST_TEST(this->committed_pieces() == 3);
    this->send(aborted{granted[0].decode, attempt_of(1)});
    BOOST_TEST(this->committed_pieces() == 0);
}

BOOST_FIXTURE_TEST_CASE(an_abort_is_repeated_until_it_is_confirmed, fixture) {
    this->send(make_acquire(1, this->now));
    this->send(holder_gone{entry_host});
    this->now += abort_interval;
    BOOST_TEST(commands_of<abort>(this->send(tick{})).size() == 2U);
    this->now += abort_interval;
    BOOST_TEST(commands_of<abort>(this->send(tick{})).size() == 2U);
}

BOOST_FIXTURE_TEST_CASE(a_lease_that_is_not_renewed_is_aborted_within_three_seconds, fixture) {
    auto const granted = commands_of<grant>(this->send(make_acquire(1, this->now)));
    BOOST_TEST((granted[0].deadline == this->now + lease_length));
    this->now += seconds{3};
    BOOST_TEST(!commands_of<abort>(this->send(tick{})).empty());
}

BOOST_FIXTURE_TEST_CASE(a_release_before_its_acquire_cancels_it, fixture) {
    this->send(make_release(1, ending::cancelled));
    BOOST_TEST(this->send(make_acquire(1, this->now)).empty());
    BOOST_TEST(this->committed_pieces() == 0);
}

BOOST_FIXTURE_TEST_CASE(a_leaving_engine_gets_no_new_work, fixture) {
    auto report = upstream_report{};
    report.upstream = base::upstream_id{"d1"};
    report.leaving = true;
    this->send(report);
    for (auto number = std::uint64_t{1}; number <= 2; ++number) {
        for (auto const& one : commands_of<grant>(this->send(make_acquire(number, this->now)))) {
            BOOST_TEST(one.decode == base::upstream_id{"d2"});
        }
    }
}

BOOST_FIXTURE_TEST_CASE(a_request_that_avoids_all_engines_still_gets_one, fixture) {
    auto message = make_acquire(1, this->now);
    for (auto const* const name : {"p1", "p2", "d1", "d2"}) {
        message.avoid.push_back(base::upstream_id{name});
    }
    BOOST_TEST(commands_of<grant>(this->send(message)).size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_request_that_avoids_one_engine_gets_another, fixture) {
    auto message = make_acquire(1, this->now);
    message.avoid.push_back(base::upstream_id{"d1"});
    auto const granted = commands_of<grant>(this->send(message));
    BOOST_REQUIRE(granted.size() == 1U);
    BOOST_TEST(granted.front().decode == base::upstream_id{"d2"});
}

BOOST_FIXTURE_TEST_CASE(a_request_larger_than_any_engine_is_refused_as_too_large, fixture) {
    auto const refused = commands_of<refuse>(this->send(make_acquire(1, this->now, 200'000)));
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].reason == refusal::too_large));
}

BOOST_FIXTURE_TEST_CASE(a_kept_result_gets_another_decode_engine_at_once, fixture) {
    auto kept = make_acquire(1, this->now);
    kept.kept_by = base::upstream_id{"p1"};
    kept.kept_until = this->now + milliseconds{500};
    kept.avoid = {base::upstream_id{"d1"}};
    auto const granted = commands_of<grant>(this->send(kept));
    BOOST_TEST_REQUIRE(granted.size() == 1U);
    BOOST_TEST(!granted[0].prefill.has_value());
    BOOST_TEST(granted[0].decode == base::upstream_id{"d2"});
}

BOOST_AUTO_TEST_CASE(a_starting_scheduler_without_reports_refuses) {
    auto cell = scheduler{scheduler_options{decode_first{}, start_time + seconds{3}}};
    cell.handle(small_cell(), start_time);
    auto const refused = commands_of<refuse>(cell.handle(make_acquire(1, start_time), start_time));
    BOOST_TEST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].reason == refusal::keeper_starting));
    BOOST_TEST((refused[0].retry_at == start_time + seconds{3}));
}

BOOST_FIXTURE_TEST_CASE(one_engine_of_two_is_never_ejected, fixture) {
    auto failures = 0;
    for (auto number = std::uint64_t{1}; failures < 2 * failures_before_ejection; ++number) {
        auto const granted = commands_of<grant>(this->send(make_acquire(number, this->now)));
        auto const failing = granted[0].decode == base::upstream_id{"d2"};
        failures += failing ? 1 : 0;
        this->send(make_release(number, failing ? ending::decode_failed : ending::cancelled));
        this->now += milliseconds{400};
    }
    for (auto const& one : this->cell.snapshot().upstreams) {
        BOOST_TEST(one.takes_work);
    }
}

BOOST_AUTO_TEST_CASE(one_of_three_engines_is_ejected_and_then_probed) {
    auto cell = scheduler{scheduler_options{}};
    auto settings = small_cell();
    settings.upstreams.push_back(engine("d3", service::upstream_role::decode));
    cell.handle(settings, start_time);
    auto const takes_work = [&](std::string const& name) {
        for (auto const& one : cell.snapshot().upstreams) {
            if (one.id.value == name) {
                return one.takes_work;
            }
        }
        return false;
    };
    auto now = start_time;
    for (auto number = std::uint64_t{1}; number < 40; ++number) {
        auto const granted = commands_of<grant>(cell.handle(make_acquire(number, now), now));
        auto const failing = !granted.empty() && granted[0].decode == base::upstream_id{"d3"};
        cell.handle(make_release(number, failing ? ending::decode_failed : ending::completed), now);
        now += milliseconds{10};
    }
    BOOST_TEST(!takes_work("d3"));
    BOOST_TEST(takes_work("d1"));
    now += min_ejection_time;
    cell.handle(tick{}, now);
    BOOST_TEST(takes_work("d3"));
}

BOOST_AUTO_TEST_CASE(a_probe_without_an_outcome_is_repeated) {
    auto health = engine_health{};
    health.eject(start_time);
    health.state = health_state::awaiting_probe;
    health.record_request();
    BOOST_TEST(!health.takes_work());
    health.release_probe();
    BOOST_TEST(health.takes_work());
    health.record_request();
    BOOST_TEST(health.record_failure());
}

BOOST_FIXTURE_TEST_CASE(an_overload_refusal_has_a_bounded_retry_time, fixture) {
    auto refused = std::vector<refuse>{};
    for (auto number = std::uint64_t{1}; number < 60; ++number) {
        auto const commands = this->send(make_acquire(number, this->now, 20'000));
        auto const some = commands_of<refuse>(commands);
        refused.insert(refused.end(), some.begin(), some.end());
    }
    BOOST_TEST_REQUIRE(!refused.empty());
    for (auto const& one : refused) {
        auto const is_overload =
            one.reason == refusal::overloaded || one.reason == refusal::over_share;
        BOOST_TEST(is_overload);
        BOOST_TEST((one.retry_at > this->now));
        BOOST_TEST((one.retry_at < this->now + seconds{60}));
    }
}

BOOST_FIXTURE_TEST_CASE(interactive_requests_go_before_batch_ones, fixture) {
    for (auto number = std::uint64_t{1}; number <= 2; ++number) {
        this->send(make_acquire(number, this->now, 16'000));
    }
    auto batch_request = make_acquire(3, this->now, 16'000);
    batch_request.priority = base::priority_class::batch;
    batch_request.first_token_deadline = this->now + seconds{60};
    BOOST_TEST(this->send(batch_request).empty());
    BOOST_TEST(this->send(make_acquire(4, this->now, 2000)).empty());
    this->now += milliseconds{790};
    auto const granted = commands_of<grant>(this->send(tick{}));
    BOOST_TEST_REQUIRE(!granted.empty());
    BOOST_TEST((granted[0].attempt == attempt_of(4)));
}

BOOST_FIXTURE_TEST_CASE(a_request_that_can_not_start_in_time_is_refused_in_time, fixture) {
    for (auto number = std::uint64_t{1}; number <= 2; ++number) {
        this->send(make_acquire(number, this->now, 28'000));
    }
    auto const first = this->send(make_acquire(3, this->now, 4000));
    auto answers = commands_of<refuse>(first).size() + commands_of<grant>(first).size();
    for (auto step = 0; step < 40; ++step) {
        this->now += milliseconds{50};
        auto message = renew{entry_host, {}};
        message.renewals.push_back({attempt_of(1), phase::prefilling, base::token_count{0}});
        message.renewals.push_back({attempt_of(2), phase::prefilling, base::token_count{0}});
        auto const commands = this->send(message);
        answers += commands_of<refuse>(commands).size() + commands_of<grant>(commands).size();
    }
    BOOST_TEST(answers == 1U);
}

BOOST_FIXTURE_TEST_CASE(a_caller_with_time_left_is_admitted_though_longer_prompts_are_refused,
                        fixture) {
    for (auto number = std::uint64_t{1}; number <= 2; ++number) {
        this->send(make_acquire(number, this->now, 16'000));
    }
    for (auto number = std::uint64_t{3}; number < 10; ++number) {
        BOOST_TEST(
            commands_of<refuse>(this->send(make_acquire(number, this->now, 30'000))).size() == 1U);
    }
    for (auto number = std::uint64_t{10}; number < 20; ++number) {
        BOOST_TEST(this->send(make_acquire(number, this->now, 2000)).empty());
    }
    BOOST_TEST(this->cell.snapshot().interactive_waiting == 10U);
}

BOOST_FIXTURE_TEST_CASE(a_long_prompt_waits_only_for_those_that_go_before_it, fixture) {
    for (auto number = std::uint64_t{1}; number <= 2; ++number) {
        this->send(make_acquire(number, this->now, 16'000));
    }
    for (auto number = std::uint64_t{3}; number < 13; ++number) {
        BOOST_TEST(this->send(make_acquire(number, this->now, 2000)).empty());
    }
    BOOST_TEST(this->send(make_acquire(13, this->now, 12'000)).empty());
    this->now += milliseconds{790};
    auto const granted = commands_of<grant>(this->send(tick{}));
    BOOST_TEST_REQUIRE(!granted.empty());
    BOOST_TEST((granted[0].attempt == attempt_of(13)));
}

}  // namespace
}  // namespace linnetlane::cell
