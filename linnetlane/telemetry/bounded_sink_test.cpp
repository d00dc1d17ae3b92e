#include "linnetlane/telemetry/bounded_sink.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <string>

#include <spdlog/logger.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::telemetry {
namespace {

struct pipe_ends {
    std::array<int, 2> ends{};

    pipe_ends() { BOOST_REQUIRE(::pipe(this->ends.data()) == 0); }
    pipe_ends(pipe_ends const&) = delete;
    auto operator=(pipe_ends const&) -> pipe_ends& = delete;
    pipe_ends(pipe_ends&&) = delete;
    auto operator=(pipe_ends&&) -> pipe_ends& = delete;
    ~pipe_ends() {
        ::close(this->ends[0]);
        ::close(this->ends[1]);
    }
};

BOOST_AUTO_TEST_CASE(a_slow_reader_never_blocks_the_writer) {
    auto const stuck = pipe_ends{};
    auto const sink = std::make_shared<bounded_sink>(stuck.ends[1], sink_bounds{1'000'000});
    auto log = spdlog::logger{"test", sink};
    auto const line = std::string(1000, 'x');
    for (auto count = 0; count < 500; ++count) {
        log.info(line);
    }
    BOOST_TEST(sink->dropped() > 300U);
}

BOOST_AUTO_TEST_CASE(the_rate_is_bounded_and_dropped_lines_are_counted) {
    auto const open = pipe_ends{};
    auto const sink = std::make_shared<bounded_sink>(open.ends[1], sink_bounds{5});
    auto log = spdlog::logger{"test", sink};
    for (auto count = 0; count < 50; ++count) {
        log.info("line");
    }
    BOOST_TEST(sink->dropped() >= 44U);
}

}  // namespace
}  // namespace linnetlane::telemetry
