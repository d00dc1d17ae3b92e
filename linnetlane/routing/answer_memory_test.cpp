#include "linnetlane/routing/answer_memory.h"

#include <cstddef>
#include <string>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

using namespace std::chrono_literals;

auto const start = base::time_point{} + 1h;

BOOST_AUTO_TEST_CASE(the_latest_answer_counts) {
    auto memory = answer_memory{};
    BOOST_TEST(!memory.find("one").has_value());
    memory.note("one", start);
    memory.note("one", start + 1s);
    memory.note("one", start - 1s);
    BOOST_TEST((memory.find("one") == start + 1s));
    BOOST_TEST(!memory.find("other").has_value());
}

// 2,000 different answers a second for the time in which they count.
BOOST_AUTO_TEST_CASE(almost_all_of_the_last_120000_answers_are_remembered) {
    constexpr auto answers = std::size_t{120'000};
    auto memory = answer_memory{};
    for (auto index = std::size_t{0}; index < 5 * answers; ++index) {
        memory.note(fmt::format("r{}", index), start + index * 500us);
    }
    auto forgotten = std::size_t{0};
    for (auto index = 4 * answers; index < 5 * answers; ++index) {
        forgotten += memory.find(fmt::format("r{}", index)) ? 0 : 1;
    }
    BOOST_TEST(forgotten <= answers / 50);
}

}  // namespace
}  // namespace linnetlane::routing
