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

// A later attempt of the same request began a stream at another version than the record said.
BOOST_AUTO_TEST_CASE(a_request_stays_bound_to_its_first_version) {
    auto origins = stream_origins{};
    BOOST_TEST(origins.bind(origin("r1", "v1"), start).value == "v1");
    BOOST_TEST(origins.bind(origin("r1", "v2"), start).value == "v1");
    BOOST_TEST(origins.find(base::caller_request_id{"r1"})->value == "v1");
    // There is one record for both.
    BOOST_TEST((origins.await_unrecorded(8) == std::vector{origin("r1", "v1")}));
}

BOOST_AUTO_TEST_CASE(a_record_that_was_written_is_not_written_again) {
    auto origins = stream_origins{};
    origins.bind(origin("r1", "v1"), start);
    BOOST_TEST(origins.await_unrecorded(8).size() == 1U);
    origins.bind(origin("r1", "v1"), start);
    origins.bind(origin("r2", "v1"), start);
    origins.bind(origin("r1", "v2"), start);
    BOOST_TEST((origins.await_unrecorded(8) == std::vector{origin("r2", "v1")}));
}

BOOST_AUTO_TEST_CASE(records_that_could_not_be_written_are_returned_unchanged) {
    auto origins = stream_origins{};
    origins.bind(origin("r1", "v1"), start);
    auto const failed = origins.await_unrecorded(1);
    origins.bind(origin("r1", "v2"), start);
    origins.put_back(failed);
    BOOST_TEST(origins.unrecorded_count() == 1U);
    BOOST_TEST((origins.await_unrecorded(8) == std::vector{origin("r1", "v1")}));
}

// After an outage the records of the oldest streams were written last.
BOOST_AUTO_TEST_CASE(records_that_could_not_be_written_come_before_later_ones) {
    auto origins = stream_origins{};
    origins.bind(origin("r1", "v1"), start);
    origins.bind(origin("r2", "v1"), start);
    auto const failed = origins.await_unrecorded(8);
    origins.bind(origin("r3", "v1"), start);
    origins.put_back(failed);
    BOOST_TEST((origins.await_unrecorded(8) ==
                std::vector{origin("r1", "v1"), origin("r2", "v1"), origin("r3", "v1")}));
}

// The registry's records ended with their lease, or were not in the copy that it was restored from.
BOOST_AUTO_TEST_CASE(all_streams_can_be_recorded_again) {
    auto origins = stream_origins{};
    origins.bind(origin("r1", "v1"), start);
    origins.bind(origin("r2", "v2"), start);
    BOOST_TEST(origins.await_unrecorded(1).size() == 1U);
    origins.record_again();
    BOOST_TEST(
        (origins.await_unrecorded(8) == std::vector{origin("r2", "v2"), origin("r1", "v1")}));
}

// Streams that began before a rollout had no record, and hosts that started in it refused them.
BOOST_AUTO_TEST_CASE(every_stream_is_recorded_and_the_oldest_record_is_written_first) {
    auto origins = stream_origins{};
    origins.bind(origin("r1", "v1"), start);
    origins.bind(origin("r2", "v1"), start);
    BOOST_TEST((origins.await_unrecorded(1) == std::vector{origin("r1", "v1")}));
    BOOST_TEST((origins.await_unrecorded(8) == std::vector{origin("r2", "v1")}));
}

BOOST_AUTO_TEST_CASE(streams_are_forgotten_when_they_can_no_longer_be_resumed) {
    auto origins = stream_origins{};
    origins.bind(origin("r1", "v1"), start);
    origins.bind(origin("r2", "v1"), start + routing::stream_lifetime);
    BOOST_TEST(!origins.find(base::caller_request_id{"r1"}).has_value());
    BOOST_TEST(origins.find(base::caller_request_id{"r2"}).has_value());
}

auto const own_origin = origin("r1", "v1");
auto const kept_origin = origin("r2", "v2");

BOOST_AUTO_TEST_CASE(what_another_host_handed_over_is_known_and_recorded_after_the_own_records) {
    auto origins = stream_origins{};
    origins.keep(kept_origin, start);
    origins.bind(own_origin, start);
    BOOST_TEST(origins.find(kept_origin.request)->value == "v2");
    BOOST_TEST((origins.await_unrecorded(1) == std::vector{own_origin}));
    auto const failed = origins.await_unrecorded(1);
    BOOST_TEST((failed == std::vector{kept_origin}));
    origins.put_back(failed);
    BOOST_TEST((origins.await_unrecorded(8) == std::vector{kept_origin}));
}

BOOST_AUTO_TEST_CASE(a_request_stays_bound_whatever_another_host_hands_over) {
    auto origins = stream_origins{};
    origins.bind(own_origin, start);
    origins.keep(origin("r1", "v2"), start);
    BOOST_TEST(origins.find(own_origin.request)->value == "v1");
    BOOST_TEST(origins.unrecorded_count() == 1U);
}

BOOST_AUTO_TEST_CASE(what_is_neither_recorded_nor_kept_elsewhere_is_handed_over) {
    auto origins = stream_origins{};
    origins.bind(own_origin, start);
    origins.keep(kept_origin, start);
    // Another host has it already.
    BOOST_TEST((origins.not_handed_over(8, false) == std::vector{own_origin}));
    // Both would be lost with this host.
    BOOST_TEST((origins.not_handed_over(8, true) == std::vector{own_origin, kept_origin}));
    BOOST_TEST((origins.not_handed_over(1, true) == std::vector{own_origin}));
    // While the write is under way it may still fail.
    static_cast<void>(origins.await_unrecorded(8));
    BOOST_TEST((origins.not_handed_over(8, true) == std::vector{own_origin, kept_origin}));
    origins.note_recorded({kept_origin});
    origins.note_handed_over({own_origin});
    BOOST_TEST(origins.not_handed_over(8, true).empty());
    // The registry has lost its record.
    origins.record_again();
    BOOST_TEST((origins.not_handed_over(8, true) == std::vector{kept_origin}));
}

BOOST_AUTO_TEST_CASE(what_is_kept_for_other_hosts_is_limited) {
    auto origins = stream_origins{};
    auto const request = [](std::size_t number) { return "r" + std::to_string(number); };
    for (auto number = std::size_t{0}; number < stream_origins::max_kept + 5; ++number) {
        origins.keep(origin(request(number), "v1"), start);
    }
    BOOST_TEST(origins.unrecorded_count() == stream_origins::max_kept);
    BOOST_TEST(!origins.find(base::caller_request_id{request(4)}).has_value());
    BOOST_TEST(origins.find(base::caller_request_id{request(5)}).has_value());
    origins.bind(own_origin, start + routing::stream_lifetime);
    BOOST_TEST(!origins.find(base::caller_request_id{request(5)}).has_value());
    BOOST_TEST((origins.await_unrecorded(2 * stream_origins::max_kept) == std::vector{own_origin}));
    origins.keep(kept_origin, start + routing::stream_lifetime);
    BOOST_TEST(origins.find(kept_origin.request).has_value());
}

BOOST_AUTO_TEST_CASE(unusable_ids_are_not_recorded) {
    auto origins = stream_origins{};
    for (auto const& id : {std::string{}, std::string(stream_origins::max_id_bytes + 1, 'x')}) {
        BOOST_TEST(origins.bind(origin(id, "v1"), start).value == "v1");
    }
    origins.bind(origin("r1", "v1"), start);
    BOOST_TEST((origins.await_unrecorded(8) == std::vector{origin("r1", "v1")}));
}

}  // namespace
}  // namespace linnetlane::router
