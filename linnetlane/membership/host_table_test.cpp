// Tests that the host table converges and keeps the newest records in whatever order they arrive.

#include "linnetlane/membership/host_table.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace linnetlane::membership {
namespace {

auto any_record() -> rc::Gen<host_record> {
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(1, 4),
                                       rc::gen::inRange(0, 4), rc::gen::inRange(0, 3)),
                        [](auto const& drawn) {
                            auto const [host, incarnation, revision, state] = drawn;
                            auto record = host_record{};
                            record.host = {std::string(1, static_cast<char>('x' + host))};
                            record.data_centre = {"a"};
                            record.incarnation = {static_cast<std::uint64_t>(incarnation)};
                            record.revision = {static_cast<std::uint64_t>(revision)};
                            record.liveness = static_cast<liveness>(state);
                            return record;
                        });
}

RC_BOOST_PROP(a_table_ends_the_same_for_any_order_once_hosts_are_known, ()) {
    auto records = *rc::gen::container<std::vector<host_record>>(any_record());
    auto first = host_table{};
    auto second = host_table{};
    for (auto const& name : {"x", "y", "z"}) {
        auto known = host_record{};
        known.host = {name};
        known.data_centre = {"a"};
        first.merge(known, {});
        second.merge(known, {});
    }
    for (auto const& record : records) {
        first.merge(record, {});
    }
    std::reverse(records.begin(), records.end());
    for (auto const& record : records) {
        second.merge(record, {});
    }
    RC_ASSERT(first.records_of({"a"}) == second.records_of({"a"}));
    RC_ASSERT(first.digest_of({"a"}) == second.digest_of({"a"}));
}

RC_BOOST_PROP(a_later_incarnation_outlives_any_word_on_earlier_ones, ()) {
    auto const records = *rc::gen::container<std::vector<host_record>>(any_record());
    auto table = host_table{};
    auto reborn = host_record{};
    reborn.host = {"x"};
    reborn.data_centre = {"a"};
    reborn.incarnation = {9};
    table.merge(reborn, {});
    for (auto const& record : records) {
        table.merge(record, {});
    }
    RC_ASSERT(*table.find({"x"}) == reborn);
}

RC_BOOST_PROP(an_incarnation_that_is_gone_stays_gone, ()) {
    auto const records = *rc::gen::container<std::vector<host_record>>(any_record());
    auto table = host_table{};
    auto record = host_record{};
    record.host = {"x"};
    record.incarnation = {3};
    table.merge(record, {});
    record.liveness = liveness::gone;
    table.merge(record, {});
    for (auto const& later : records) {
        table.merge(later, {});
    }
    RC_ASSERT(table.find({"x"})->liveness == liveness::gone);
}

BOOST_AUTO_TEST_CASE(hosts_that_leave_or_are_not_ready_get_no_duties) {
    auto table = host_table{};
    auto record = host_record{};
    record.data_centre = {"a"};
    record.host = {"new"};
    table.merge(record, {});
    record.ready = true;
    record.host = {"ready"};
    table.merge(record, {});
    record.leaving = true;
    record.host = {"leaving"};
    table.merge(record, {});
    BOOST_TEST(table.eligible_in({"a"}) == std::vector<base::host_id>{{"ready"}},
               boost::test_tools::per_element());
    BOOST_TEST(table.present_in({"a"}).size() == 3U);
}

}  // namespace
}  // namespace linnetlane::membership
