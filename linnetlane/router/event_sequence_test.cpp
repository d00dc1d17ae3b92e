// Guards against events that come twice in one answer, or again in the answer that resumes a
// stream.

#include "linnetlane/router/event_sequence.h"

#include <cstdint>
#include <optional>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

auto event(std::optional<std::uint64_t> id) -> framed_event {
    return framed_event{"data: x\n\n", id, true};
}

auto delivers(event_sequence& sequence, std::optional<std::uint64_t> id) -> bool {
    return sequence.judge(event(id)) == event_verdict::deliver;
}

BOOST_AUTO_TEST_CASE(events_with_increasing_ids_are_delivered_whatever_their_steps) {
    auto sequence = event_sequence{std::nullopt};
    sequence.begin_run();
    for (auto const id : {1U, 2U, 5U, 100U}) {
        BOOST_TEST(delivers(sequence, id));
        BOOST_TEST(sequence.last_id().value() == id);
    }
}

BOOST_AUTO_TEST_CASE(an_upstream_that_begins_again_delivers_only_what_is_left) {
    auto sequence = event_sequence{std::nullopt};
    sequence.begin_run();
    for (auto const id : {1U, 2U, 3U}) {
        BOOST_TEST(delivers(sequence, id));
    }
    for (auto runs = 0; runs < 2; ++runs) {
        sequence.begin_run();
        for (auto const id : {1U, 2U, 3U}) {
            BOOST_TEST(!delivers(sequence, id));
        }
    }
    BOOST_TEST(delivers(sequence, 4U));
    BOOST_TEST(!delivers(sequence, 4U));
    BOOST_TEST(!delivers(sequence, 2U));
    BOOST_TEST(delivers(sequence, 5U));
}

BOOST_AUTO_TEST_CASE(what_the_caller_has_received_in_earlier_answers_is_left_out) {
    auto sequence = event_sequence{12};
    BOOST_TEST(sequence.last_id().value() == 12U);
    sequence.begin_run();
    BOOST_TEST(!delivers(sequence, 11U));
    BOOST_TEST(!delivers(sequence, 12U));
    BOOST_TEST(delivers(sequence, 13U));
}

BOOST_AUTO_TEST_CASE(events_without_ids_are_all_delivered) {
    auto sequence = event_sequence{std::nullopt};
    sequence.begin_run();
    for (auto count = 0; count < 5; ++count) {
        BOOST_TEST(delivers(sequence, std::nullopt));
    }
    BOOST_TEST(!sequence.last_id().has_value());
}

BOOST_AUTO_TEST_CASE(events_without_ids_among_repeated_ones_are_left_out) {
    auto sequence = event_sequence{std::nullopt};
    sequence.begin_run();
    BOOST_TEST(delivers(sequence, 1U));
    BOOST_TEST(delivers(sequence, std::nullopt));
    BOOST_TEST(delivers(sequence, 2U));
    sequence.begin_run();
    BOOST_TEST(!delivers(sequence, 1U));
    BOOST_TEST(!delivers(sequence, std::nullopt));
    BOOST_TEST(!delivers(sequence, 2U));
    BOOST_TEST(delivers(sequence, 3U));
    BOOST_TEST(delivers(sequence, std::nullopt));
}

// Another upstream would send the events without an id once more.
BOOST_AUTO_TEST_CASE(the_position_is_known_only_right_after_an_event_with_an_id) {
    auto sequence = event_sequence{std::nullopt};
    BOOST_TEST(sequence.position_is_known());
    sequence.begin_run();
    BOOST_TEST(delivers(sequence, std::nullopt));
    BOOST_TEST(!sequence.position_is_known());
    BOOST_TEST(delivers(sequence, 1U));
    BOOST_TEST(sequence.position_is_known());
    // A comment.
    BOOST_TEST((sequence.judge({": x\n\n", std::nullopt, false}) == event_verdict::deliver));
    BOOST_TEST(sequence.position_is_known());
    BOOST_TEST(delivers(sequence, std::nullopt));
    BOOST_TEST(!sequence.position_is_known());
}

BOOST_AUTO_TEST_CASE(ids_of_delivered_events_increase_whatever_upstreams_send) {
    BOOST_TEST(rc::check([](std::vector<std::vector<std::uint8_t>> const& runs) {
        auto sequence = event_sequence{std::nullopt};
        auto last = std::optional<std::uint64_t>{};
        for (auto const& run : runs) {
            sequence.begin_run();
            for (auto const id : run) {
                if (delivers(sequence, id)) {
                    RC_ASSERT(!last || *last < id);
                    last = id;
                } else {
                    RC_ASSERT(last && id <= *last);
                }
            }
        }
        RC_ASSERT(sequence.last_id() == last);
    }));
}

}  // namespace
}  // namespace linnetlane::router
