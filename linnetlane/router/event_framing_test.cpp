#include "linnetlane/router/event_framing.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::router {
namespace {

auto bytes_of(std::vector<framed_event> const& events) -> std::string {
    auto bytes = std::string{};
    for (auto const& event : events) {
        bytes += event.bytes;
    }
    return bytes;
}

BOOST_AUTO_TEST_CASE(events_pass_unchanged_and_complete_for_any_chunk_sizes) {
    BOOST_TEST(rc::check([] {
        auto text = std::string{};
        auto const events = *rc::gen::inRange(0, 20);
        for (auto number = 1; number <= events; ++number) {
            text += "id: " + std::to_string(number) + "\ndata: x\n\n";
        }
        auto framing = event_framing{};
        auto passed = std::string{};
        auto last = std::uint64_t{0};
        for (auto place = std::size_t{0}; place < text.size();) {
            auto const size = *rc::gen::inRange<std::size_t>(1, 9);
            for (auto const& event : framing.take(std::string_view{text}.substr(place, size))) {
                RC_ASSERT(event.bytes.ends_with("\n\n"));
                RC_ASSERT(event.id.value_or(0) == ++last);
                RC_ASSERT(event.has_data);
                passed += event.bytes;
            }
            place += size;
        }
        RC_ASSERT(framing.take_end().empty());
        RC_ASSERT(passed == text);
        RC_ASSERT(framing.incomplete().empty());
        RC_ASSERT(last == static_cast<std::uint64_t>(events));
    }));
}

BOOST_AUTO_TEST_CASE(an_incomplete_event_is_not_passed_on) {
    auto framing = event_framing{};
    auto const first = framing.take("id: 1\ndata: a\n\nid: 2\nda");
    BOOST_TEST(bytes_of(first) == "id: 1\ndata: a\n\n");
    BOOST_TEST(first.back().id.value() == 1U);
    framing.discard_incomplete();
    auto const next = framing.take("data: b\n\n");
    BOOST_TEST(bytes_of(next) == "data: b\n\n");
    BOOST_TEST(!next.back().id.has_value());
}

// Guards against events that are held back until the stream ends, and are then taken for an
// incomplete one.
BOOST_AUTO_TEST_CASE(events_end_at_blank_lines_of_any_line_end) {
    for (auto const* const end : {"\n", "\r\n", "\r"}) {
        for (auto const* const blank : {"\n", "\r\n", "\r"}) {
            if (std::string{end} == "\r" && std::string{blank} == "\n") {
                // Together they are one line end.
                continue;
            }
            auto text = std::string{};
            for (auto const* const number : {"1", "2", "3"}) {
                text += std::string{"id: "} + number + end + ": comment" + end + "data: x" + end +
                        blank;
            }
            for (auto size = std::size_t{1}; size <= text.size(); ++size) {
                auto framing = event_framing{};
                auto events = std::vector<framed_event>{};
                auto const collect = [&](std::vector<framed_event> const& more) {
                    events.insert(events.end(), more.begin(), more.end());
                };
                for (auto place = std::size_t{0}; place < text.size(); place += size) {
                    collect(framing.take(std::string_view{text}.substr(place, size)));
                }
                collect(framing.take_end());
                BOOST_TEST(bytes_of(events) == text);
                BOOST_TEST(events.size() == 3U);
                BOOST_TEST(events.back().id.value_or(0) == 3U);
                BOOST_TEST(framing.incomplete().empty());
            }
        }
    }
}

// Guards against an upstream being told to go on after an event that the caller doesn't have.
BOOST_AUTO_TEST_CASE(only_an_id_that_is_a_number_is_taken_for_one) {
    for (auto const* const line :
         {"id", "id:", "id: ", "id: x", "id: 1x", "id:  1", "id: -1", "id: 1 ", "data: id: 1",
          "ident: 1", "id: 99999999999999999999", ": id: 1", " id: 1"}) {
        auto framing = event_framing{};
        auto const events = framing.take(std::string{line} + "\ndata: a\n\n");
        BOOST_TEST(events.size() == 1U);
        BOOST_TEST(!events.back().id.has_value(), line);
    }
    for (auto const* const event : {"id:7\ndata: a\n\n", "data: a\nid: 7\nevent: b\n\n",
                                    "id: 6\nid: 7\n\n", "id: x\nid: 7\n\n"}) {
        auto framing = event_framing{};
        BOOST_TEST(framing.take(event).back().id.value_or(0) == 7U, event);
    }
}

// Guards against a whole stream being taken for an interrupted one.
BOOST_AUTO_TEST_CASE(comments_and_blank_lines_after_the_last_event_are_no_incomplete_event) {
    for (auto const* const rest : {"\n", "\n\n", ": end\n", ": one\n: two\n", ": end\r", "\r"}) {
        auto framing = event_framing{};
        auto passed = bytes_of(framing.take(std::string{"id: 1\ndata: a\n\n"} + rest));
        passed += bytes_of(framing.take_end());
        BOOST_TEST(passed == std::string{"id: 1\ndata: a\n\n"} + rest);
        BOOST_TEST(framing.incomplete().empty(), rest);
    }
    for (auto const* const rest : {"i", "id: 2", "data: b\n", ": end", ": end\nid: 2\n"}) {
        auto framing = event_framing{};
        BOOST_TEST(bytes_of(framing.take(rest)).empty());
        BOOST_TEST(framing.take_end().empty());
        BOOST_TEST(!framing.incomplete().empty(), rest);
    }
}

}  // namespace
}  // namespace linnetlane::router
