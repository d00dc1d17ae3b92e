#include "linnetlane/router/event_framing.h"

#include <string>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

BOOST_AUTO_TEST_CASE(events_pass_unchanged_and_complete_for_any_chunk_sizes) {
    BOOST_TEST(rc::check([] {
        auto text = std::string{};
        auto const events = *rc::gen::inRange(0, 20);
        for (auto number = 1; number <= events; ++number) {
            text += "id: " + std::to_string(number) + "\ndata: x\n\n";
        }
        auto framing = event_framing{};
        auto passed = std::string{};
        for (auto place = std::size_t{0}; place < text.size();) {
            auto const size = *rc::gen::inRange<std::size_t>(1, 9);
            auto const whole = framing.take(std::string_view{text}.substr(place, size));
            RC_ASSERT(whole.empty() || whole.ends_with("\n\n"));
            passed += whole;
            place += size;
        }
        RC_ASSERT(passed == text);
        RC_ASSERT(framing.incomplete().empty());
        RC_ASSERT(framing.last_id().value_or(0) == static_cast<std::uint64_t>(events));
    }));
}

BOOST_AUTO_TEST_CASE(an_incomplete_event_is_not_passed_on) {
    auto framing = event_framing{};
    BOOST_TEST(framing.take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
    framing.discard_incomplete();
    BOOST_TEST(framing.last_id().value() == 1U);
    BOOST_TEST(framing.take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
}

}  // namespace
}  // namespace linnetlane::router
