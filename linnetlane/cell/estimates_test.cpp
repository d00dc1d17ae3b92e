#include "linnetlane/cell/estimates.h"

#include <chrono>

#include <boost/test/unit_test.hpp>

namespace linnetlane::cell {
namespace {

using std::chrono::milliseconds;

struct fixture {
    estimates learned;
    engine_samples normal;

    fixture() { this->learned.configure(service::engine_shape{}); }
};

auto const prompt = base::token_count{20'000};

BOOST_FIXTURE_TEST_CASE(document_figures_apply_without_samples, fixture) {
    BOOST_TEST(base::to_seconds(this->learned.prefill_time(prompt, this->normal)) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(the_cell_learns_its_prefill_rate, fixture) {
    for (auto sample = 0; sample < 20; ++sample) {
        this->learned.record_prefill(prompt, milliseconds{500}, this->normal);
    }
    BOOST_TEST(base::to_seconds(this->learned.prefill_time(prompt, this->normal)) == 0.5,
               boost::test_tools::tolerance(0.01));
}

BOOST_FIXTURE_TEST_CASE(one_engine_with_wrong_times_changes_no_other_estimate, fixture) {
    auto faulty = engine_samples{};
    for (auto sample = 0; sample < 60; ++sample) {
        auto const is_faulty = sample % 3 == 0;
        this->learned.record_prefill(prompt, is_faulty ? milliseconds{1} : milliseconds{1000},
                                     is_faulty ? faulty : this->normal);
    }
    BOOST_TEST(base::to_seconds(this->learned.prefill_time(prompt, this->normal)) == 1.0,
               boost::test_tools::tolerance(0.01));
    BOOST_TEST(this->learned.prefill_slowdown(faulty) == 0.5);
}

BOOST_FIXTURE_TEST_CASE(a_slow_engine_is_detected, fixture) {
    auto slow = engine_samples{};
    for (auto sample = 0; sample < 40; ++sample) {
        auto const is_slow = sample % 4 == 0;
        this->learned.record_decode(base::token_count{100},
                                    is_slow ? milliseconds{9000} : milliseconds{3000}, 10,
                                    is_slow ? slow : this->normal);
    }
    BOOST_TEST(this->learned.decode_slowdown(slow) == 3.0, boost::test_tools::tolerance(0.01));
    BOOST_TEST(this->learned.decode_slowdown(this->normal) == 1.0);
}

BOOST_FIXTURE_TEST_CASE(remaining_output_depends_on_the_tokens_produced, fixture) {
    auto const kind =
        this->learned.kind_of(base::caller_id{"caller"}, base::priority_class::interactive);
    for (auto length = 100; length < 300; length += 10) {
        this->learned.record_output(kind, base::token_count{length});
    }
    auto const bound = base::token_count{500};
    auto const fresh = this->learned.remaining_output(kind, base::token_count{0}, bound, 0.5);
    auto const late = this->learned.remaining_output(kind, base::token_count{250}, bound, 0.5);
    auto const over = this->learned.remaining_output(kind, base::token_count{400}, bound, 0.5);
    BOOST_TEST(fresh.value >= 190);
    BOOST_TEST(late.value <= 40);
    BOOST_TEST(over.value == 100);
}

BOOST_FIXTURE_TEST_CASE(output_lengths_are_learned_per_caller, fixture) {
    auto const interactive = base::priority_class::interactive;
    auto const brief = this->learned.kind_of(base::caller_id{"brief"}, interactive);
    auto const wordy = this->learned.kind_of(base::caller_id{"wordy"}, interactive);
    for (auto sample = 0; sample < 30; ++sample) {
        this->learned.record_output(brief, base::token_count{20});
        this->learned.record_output(wordy, base::token_count{400});
    }
    auto const bound = base::token_count{500};
    auto const none = base::token_count{0};
    BOOST_TEST(this->learned.remaining_output(brief, none, bound, 0.5).value == 20);
    BOOST_TEST(this->learned.remaining_output(wordy, none, bound, 0.5).value == 400);
}

}  // namespace
}  // namespace linnetlane::cell
