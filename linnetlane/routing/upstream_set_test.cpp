#include "linnetlane/routing/upstream_set.h"

#include <string>

#include <boost/test/unit_test.hpp>

namespace linnetlane::routing {
namespace {

auto const start = base::time_point{} + std::chrono::hours{1};

auto make_record(std::string id) -> upstream_record {
    auto made = upstream_record{};
    made.id.value = std::move(id);
    made.address = base::endpoint{"10.0.0.1", 80};
    return made;
}

BOOST_AUTO_TEST_CASE(a_removed_record_is_dropped_at_once_without_an_outage) {
    auto set = upstream_set{};
    set.replace_all({make_record("a"), make_record("b")}, start);

    BOOST_TEST(set.remove(base::upstream_id{"a"}, start));
    BOOST_TEST(set.find(base::upstream_id{"a"}) == nullptr);
    BOOST_TEST(set.replace_all({}, start).size() == 1U);
}

BOOST_AUTO_TEST_CASE(an_upstream_that_said_that_it_leaves_stays_leaving_until_it_restarts) {
    auto set = upstream_set{};
    // Without a start, and with one.
    for (auto const started : {std::uint64_t{0}, std::uint64_t{1000}}) {
        auto record = make_record("a" + std::to_string(started));
        record.started.value = started;
        record.address.port = static_cast<std::uint16_t>(80 + started);
        set.put(record);
        BOOST_TEST(set.note_leaving(record.id));
        BOOST_TEST(!set.note_leaving(record.id));
        record.slots = 7;
        set.put(record);
        BOOST_TEST(set.find(record.id)->leaving);
        auto restarted = record;
        restarted.address.port = 9000;
        set.put(restarted);
        BOOST_TEST(!set.find(record.id)->leaving);
        set.remove(record.id, start);
    }
    BOOST_TEST(!set.note_leaving(base::upstream_id{"unknown"}));
}

BOOST_AUTO_TEST_CASE(a_later_process_replaces_the_earlier_one_at_its_address) {
    auto crashed = make_record("crashed");
    crashed.started.value = 1000;
    auto restarted = make_record("restarted");
    restarted.started.value = 2000;
    auto set = upstream_set{};
    set.replace_all({crashed}, start);
    BOOST_TEST(set.superseded_by(restarted)->id.value == "crashed");
    set.put(restarted);
    BOOST_TEST(set.find(base::upstream_id{"crashed"}) == nullptr);
    // The record of the crashed process is still registered.
    BOOST_TEST((set.put(crashed) == record_change::ignored));
    set.replace_all({crashed, restarted}, start);
    BOOST_TEST(set.all().size() == 1U);
    BOOST_TEST(set.find(base::upstream_id{"restarted"}) != nullptr);
}

BOOST_AUTO_TEST_CASE(records_missing_after_an_outage_are_kept_for_the_grace_period) {
    auto set = upstream_set{};
    set.replace_all({make_record("back"), make_record("lost")}, start);
    set.note_outage();

    BOOST_TEST(set.replace_all({}, start).empty());
    set.put(make_record("back"));
    BOOST_TEST(set.expire(start + std::chrono::seconds{2}).empty());
    auto const gone = set.expire(start + reregistration_grace);

    BOOST_TEST(gone.size() == 1U);
    BOOST_TEST(set.find(base::upstream_id{"back"}) != nullptr);
    BOOST_TEST(set.find(base::upstream_id{"lost"}) == nullptr);
}

// Guards against requests to upstreams that have left: a host that was cut off alone kept those
// whose entries were removed meanwhile or soon after.
BOOST_AUTO_TEST_CASE(a_record_removed_while_the_registry_was_available_is_not_kept) {
    auto set = upstream_set{};
    set.replace_all({make_record("a"), make_record("b")}, start);
    set.note_outage();
    BOOST_TEST(set.note_available(start));
    BOOST_TEST(!set.remove(base::upstream_id{"a"}, start));
    auto const later = start + std::chrono::milliseconds{100};
    set.end_grace(later);
    BOOST_TEST(set.expire(later).size() == 1U);
    BOOST_TEST(set.find(base::upstream_id{"a"}) == nullptr);
    BOOST_TEST(set.remove(base::upstream_id{"b"}, later));
}

BOOST_AUTO_TEST_CASE(an_outage_of_one_host_alone_begins_no_grace_period) {
    auto set = upstream_set{};
    set.replace_all({make_record("a")}, start);
    set.note_outage();
    set.end_grace(start);
    BOOST_TEST(!set.note_available(start));
    BOOST_TEST(set.remove(base::upstream_id{"a"}, start));
}

BOOST_AUTO_TEST_CASE(
    a_chosen_upstream_takes_requests_until_it_leaves_or_another_process_replaces_it) {
    auto set = upstream_set{};
    auto chosen = make_record("a");
    chosen.stage = engine_stage::decode;
    chosen.started.value = 1000;
    BOOST_TEST(!set.takes_requests(chosen));
    set.replace_all({chosen}, start);
    BOOST_TEST(set.takes_requests(chosen));
    auto other_stage = chosen;
    other_stage.stage = engine_stage::prefill;
    set.put(other_stage);
    BOOST_TEST(!set.takes_requests(chosen));
    auto restarted = chosen;
    restarted.started.value = 2000;
    set.put(restarted);
    BOOST_TEST(!set.takes_requests(chosen));
    BOOST_TEST(set.takes_requests(restarted));
    set.note_leaving(restarted.id);
    BOOST_TEST(!set.takes_requests(restarted));
    set.remove(restarted.id, start);
    BOOST_TEST(!set.takes_requests(restarted));
}

BOOST_AUTO_TEST_CASE(a_leaving_upstream_gets_no_grace_period) {
    auto set = upstream_set{};
    auto leaving = make_record("a");
    leaving.leaving = true;
    set.replace_all({leaving}, start);
    set.begin_grace(start);

    BOOST_TEST(set.remove(base::upstream_id{"a"}, start));
}

// A followed host states with each answer how much of its grace period is left. If each answer
// began a new one, an upstream that leaves after the followed host's period would be kept too long.
BOOST_AUTO_TEST_CASE(a_follower_keeps_missing_records_as_long_as_the_followed_host) {
    auto followed = upstream_set{};
    auto follower = upstream_set{};
    auto record = upstream_record{};
    record.id.value = "u1";
    record.address = {"10.0.0.1", 1};
    followed.replace_all({record}, start);
    follower.replace_all({record}, start);
    BOOST_TEST((followed.grace_left(start) == base::duration::zero()));
    followed.begin_grace(start);
    auto now = start;
    for (; now < start + reregistration_grace; now += std::chrono::milliseconds{400}) {
        follower.extend_grace(now, followed.grace_left(now));
    }
    BOOST_TEST(followed.remove(record.id, now));
    BOOST_TEST(follower.remove(record.id, now));
}

BOOST_AUTO_TEST_CASE(a_process_that_was_leaving_is_never_ready_again) {
    auto known = upstream_set{};
    auto record = upstream_record{};
    record.id.value = "u1";
    record.address = {"10.0.0.1", 1};
    record.started.value = 7;
    record.leaving = true;
    known.replace_all({record}, start);
    // A registry that was restored from an older copy shows the process as ready.
    record.leaving = false;
    known.put(record);
    BOOST_REQUIRE(known.find(record.id) != nullptr);
    BOOST_TEST(known.find(record.id)->leaving);
    known.remove(record.id, start);
    known.put(record);
    BOOST_TEST(known.find(record.id) == nullptr);
    // A later process under the same id is another one.
    record.started.value = 8;
    known.put(record);
    BOOST_REQUIRE(known.find(record.id) != nullptr);
    BOOST_TEST(!known.find(record.id)->leaving);
}

BOOST_AUTO_TEST_CASE(a_restart_under_the_same_id_is_distinguished_from_an_update) {
    auto set = upstream_set{};
    auto record = make_record("a");
    BOOST_TEST((set.put(record) == record_change::added));
    BOOST_TEST((set.put(record) == record_change::none));
    record.leaving = true;
    BOOST_TEST((set.put(record) == record_change::updated));
    record.started.value = 7;
    BOOST_TEST((set.put(record) == record_change::restarted));
}

// A record that another writer spoiled may lack the start.
BOOST_AUTO_TEST_CASE(a_record_without_a_start_is_no_restart) {
    auto set = upstream_set{};
    auto record = make_record("a");
    record.started.value = 7;
    set.put(record);
    set.note_leaving(record.id);
    auto without_start = record;
    without_start.started.value = 0;
    BOOST_TEST((set.put(without_start) != record_change::restarted));
    BOOST_TEST(set.find(record.id)->leaving);
    BOOST_TEST((set.put(record) != record_change::restarted));
    BOOST_TEST(set.find(record.id)->leaving);
    set.put(without_start);
    record.started.value = 8;
    BOOST_TEST((set.put(record) == record_change::restarted));
    BOOST_TEST(!set.find(record.id)->leaving);
}

}  // namespace
}  // namespace linnetlane::routing
