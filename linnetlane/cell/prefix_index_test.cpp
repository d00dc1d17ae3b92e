#include "linnetlane/cell/prefix_index.h"

#include <vector>

#include <boost/test/unit_test.hpp>

namespace linnetlane::cell {
namespace {

auto prompt_of(std::uint64_t first, std::size_t pieces) -> std::vector<base::prefix_hash> {
    auto made = std::vector<base::prefix_hash>{};
    for (auto piece = std::size_t{0}; piece < pieces; ++piece) {
        made.push_back(base::prefix_hash{first + piece});
    }
    return made;
}

BOOST_AUTO_TEST_CASE(the_longest_known_prefix_is_found) {
    auto index = prefix_index{};
    index.record_placement(7, prompt_of(100, 3));
    auto const found = index.longest(prompt_of(100, 6));
    BOOST_TEST_REQUIRE(found.size() == 1U);
    BOOST_TEST(found[0].engine == 7U);
    BOOST_TEST(found[0].pieces == 3U);
}

BOOST_AUTO_TEST_CASE(an_evicted_prefix_is_forgotten) {
    auto index = prefix_index{};
    index.record_placement(7, prompt_of(100, 3));
    auto update = cache_event{};
    update.sequence = 1;
    update.evicted = {base::prefix_hash{102}};
    index.apply(7, update);
    auto const found = index.longest(prompt_of(100, 3));
    BOOST_TEST_REQUIRE(found.size() == 1U);
    BOOST_TEST(found[0].pieces == 2U);
}

BOOST_AUTO_TEST_CASE(a_restarted_engine_has_an_empty_cache) {
    auto index = prefix_index{};
    auto update = cache_event{};
    update.sequence = 9;
    update.stored = prompt_of(100, 2);
    index.apply(7, update);
    BOOST_TEST(index.longest(prompt_of(100, 2)).size() == 1U);
    index.apply(7, cache_event{});
    BOOST_TEST(index.longest(prompt_of(100, 2)).empty());
}

BOOST_AUTO_TEST_CASE(least_recently_used_prefixes_are_evicted) {
    auto index = prefix_index{};
    index.record_placement(1, prompt_of(1, 1));
    for (auto first = std::uint64_t{10}; first < 10 + prefix_index::max_prefixes; ++first) {
        index.record_placement(2, prompt_of(first, 1));
    }
    BOOST_TEST(index.longest(prompt_of(1, 1)).empty());
    BOOST_TEST(!index.longest(prompt_of(10, 1)).empty());
}

}  // namespace
}  // namespace linnetlane::cell
