// Tests rendezvous hashing and the cells that are derived with it.

#include "linnetlane/membership/rendezvous.h"

#include <rapidcheck/boost_test.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>
#include <string>

#include "linnetlane/membership/cells.h"

namespace linnetlane::membership {
namespace {

auto host_names(std::size_t count) -> std::vector<base::host_id> {
    auto hosts = std::vector<base::host_id>{};
    for (auto number = std::size_t{0}; number < count; ++number) {
        hosts.push_back({"host-" + std::to_string(number)});
    }
    return hosts;
}

auto document_with(std::size_t decode, std::size_t prefill) -> service::document {
    auto made = service::document{};
    made.id = {"findings"};
    for (auto number = std::size_t{0}; number < decode + prefill; ++number) {
        auto upstream = service::upstream{};
        upstream.data_centre = {"a"};
        upstream.role =
            number < decode ? service::upstream_role::decode : service::upstream_role::prefill;
        upstream.id = {(number < decode ? "d" : "p") + std::to_string(number)};
        made.upstreams.push_back(upstream);
    }
    return made;
}

auto cell_by_upstream(std::vector<cell> const& cells)
    -> std::map<base::upstream_id, base::cell_id> {
    auto found = std::map<base::upstream_id, base::cell_id>{};
    for (auto const& each : cells) {
        for (auto const& upstream : each.serving) {
            found[upstream] = each.id;
        }
    }
    return found;
}

RC_BOOST_PROP(the_ranking_is_that_of_a_full_sort, (std::string const& duty)) {
    auto hosts = host_names(*rc::gen::inRange<std::size_t>(0, 60));
    auto const count = *rc::gen::inRange<std::size_t>(0, 70);
    auto const found = ranked(duty, hosts, count);
    std::sort(hosts.begin(), hosts.end(), [&](auto const& left, auto const& right) {
        return rendezvous_score(duty, left.value) > rendezvous_score(duty, right.value);
    });
    hosts.resize(std::min(count, hosts.size()));
    RC_ASSERT(found == hosts);
}

RC_BOOST_PROP(only_the_duties_of_a_host_that_goes_move, (std::string const& duty)) {
    auto hosts = host_names(*rc::gen::inRange<std::size_t>(2, 60));
    auto const before = winner(duty, hosts);
    auto const gone = *rc::gen::elementOf(hosts);
    std::erase(hosts, gone);
    RC_ASSERT(gone == before || winner(duty, hosts) == before);
}

BOOST_AUTO_TEST_CASE(duties_spread_evenly) {
    auto const hosts = host_names(51);
    auto duties = std::map<base::host_id, int>{};
    constexpr auto duties_per_host = 100;
    for (auto number = 0; number < 51 * duties_per_host; ++number) {
        ++duties[*winner("cell-" + std::to_string(number), hosts)];
    }
    for (auto const& host : hosts) {
        BOOST_TEST(duties[host] > duties_per_host / 2);
        BOOST_TEST(duties[host] < duties_per_host * 2);
    }
}

RC_BOOST_PROP(each_upstream_is_in_one_cell_within_the_bounds, ()) {
    auto const decode = *rc::gen::inRange<std::size_t>(0, 700);
    auto const prefill = *rc::gen::inRange<std::size_t>(0, 500);
    auto const cells = cells_of(document_with(decode, prefill), {"a"});
    auto seen = std::set<base::upstream_id>{};
    for (auto const& each : cells) {
        RC_ASSERT(each.serving.size() <= max_serving_per_cell);
        // In proportion to the decode engines, rounded up.
        RC_ASSERT(decode == 0 ||
                  each.prefill.size() * decode < prefill * each.serving.size() + decode);
        seen.insert(each.serving.begin(), each.serving.end());
        seen.insert(each.prefill.begin(), each.prefill.end());
    }
    RC_ASSERT(seen.size() == decode + prefill);
}

RC_BOOST_PROP(cells_do_not_depend_on_the_order_of_the_document, ()) {
    auto made = document_with(*rc::gen::inRange<std::size_t>(1, 200), 50);
    auto const before = cells_of(made, {"a"});
    std::reverse(made.upstreams.begin(), made.upstreams.end());
    RC_ASSERT(cells_of(made, {"a"}) == before);
}

// Allows a tenth of the upstreams to move, which is far more than do in practice and far fewer than
// would move if cells were assigned by position.
RC_BOOST_PROP(one_more_upstream_moves_few_others, ()) {
    auto const decode = *rc::gen::inRange<std::size_t>(33, 700);
    auto const before = cell_by_upstream(cells_of(document_with(decode, 0), {"a"}));
    auto const after = cell_by_upstream(cells_of(document_with(decode + 1, 0), {"a"}));
    auto moved = std::size_t{0};
    for (auto const& [upstream, home] : before) {
        moved += after.at(upstream) == home ? 0 : 1;
    }
    auto const cells = (decode / target_serving_per_cell) + 1;
    auto const one_more_cell = decode % target_serving_per_cell == 0;
    auto const allowed = one_more_cell ? (decode * 2 / cells) + 8 : (decode / 10) + 2;
    RC_ASSERT(moved <= allowed);
}

}  // namespace
}  // namespace linnetlane::membership
