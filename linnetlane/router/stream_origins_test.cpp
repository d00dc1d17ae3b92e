#include "linnetlane/router/stream_origins.h"

#include <string>

#include <boost/test/unit_test.hpp>

#include "linnetlane/routing/version_history.h"

namespace linnetlane::router {
namespace {

auto const start = base::time_point{} + std::chrono::hours{1};

auto origin(std::string request, std::string software) -> stream_origin {
    return {base::caller_request_id{std::move(request)},
            base::software_version{std::move(software)}};
}

BOOST_AUTO_TEST_CASE(the_last_upstream_that_was_chosen_counts) {
    auto origins = stream_origins{};
    origins.note(origin("r1", "v1"), true, start);
    origins.note(origin("r1", "v2"), true, start);
    BOOST_TEST(origins.find(base::caller_request_id{"r1"})->value == "v2");
    // There is one record for both.
    BOOST_TEST((origins.await_unrecorded(8) == std::vector{origin("r1", "v2")}));
}

BOOST_AUTO_TEST_CASE(a_record_that_was_written_is_written_again_after_a_change) {
    auto origins = stream_origins{};
    origins.note(origin("r1", "v1"), true, start);
    BOOST_TEST(origins.await_unrecorded(8).size() == 1U);
    origins.note(origin("r1", "v1"), true, start);
    origins.note(origin("r2", "v1"), true, start);
    origins.note(origin("r1", "v2"), true, start);
    BOOST_TEST(
        (origins.await_unrecorded(8) == std::vector{origin("r2", "v1"), origin("r1", "v2")}));
}

BOOST_AUTO_TEST_CASE(records_that_could_not_be_written_are_returned_with_the_newest_version) {
    auto origins = stream_origins{};
    origins.note(origin("r1", "v1"), true, start);
    auto const failed = origins.await_unrecorded(1);
    origins.note(origin("r1", "v2"), true, start);
    origins.put_back(failed);
    BOOST_TEST((origins.await_unrecorded(8) == std::vector{origin("r1", "v2")}));
}

BOOST_AUTO_TEST_CASE(streams_of_a_steady_service_are_known_here_only) {
    auto origins = stream_origins{};
    origins.note(origin("r1", "v1"), false, start);
    origins.note(origin("r2", "v1"), true, start);
    BOOST_TEST(origins.find(base::caller_request_id{"r1"})->value == "v1");
    BOOST_TEST((origins.await_unrecorded(8) == std::vector{origin("r2", "v1")}));
}

BOOST_AUTO_TEST_CASE(streams_are_forgotten_when_they_can_no_longer_be_resumed) {
    auto origins = stream_origins{};
    origins.note(origin("r1", "v1"), false, start);
    origins.note(origin("r2", "v1"), false, start + routing::stream_lifetime);
    BOOST_TEST(!origins.find(base::caller_request_id{"r1"}).has_value());
    BOOST_TEST(origins.find(base::caller_request_id{"r2"}).has_value());
}

BOOST_AUTO_TEST_CASE(unusable_ids_are_not_recorded) {
    auto origins = stream_origins{};
    origins.note(origin("", "v1"), true, start);
    origins.note(origin(std::string(stream_origins::max_id_bytes + 1, 'x'), "v1"), true, start);
    origins.note(origin("r1", "v1"), true, start);
    BOOST_TEST(origins.await_unrecorded(8).size() == 1U);
}

}  // namespace
}  // namespace linnetlane::router
