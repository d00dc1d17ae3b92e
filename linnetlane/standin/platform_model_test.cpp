#include "linnetlane/standin/platform_model.h"

#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::standin {
namespace {

using namespace std::chrono_literals;

auto at(base::duration since_start) -> base::time_point {
    return base::time_point{} + 1h + since_start;
}

auto all_keys() -> key_range {
    return key_range{"a", std::string(1, '\0')};
}

// One random operation: a put, an erase or a compare-and-swap.
struct step {
    int kind = 0;
    std::string key;
    std::string value;
    std::int64_t expected = 0;
};

auto any_step() -> rc::Gen<step> {
    auto const key = rc::gen::element<std::string>("a", "b", "c");
    return rc::gen::build<step>(rc::gen::set(&step::kind, rc::gen::inRange(0, 3)),
                                rc::gen::set(&step::key, key),
                                rc::gen::set(&step::value, rc::gen::arbitrary<std::string>()),
                                rc::gen::set(&step::expected, rc::gen::inRange(0, 12)));
}

struct naive_entry {
    std::string value;
    std::int64_t mod_revision = 0;
};

// Reference implementation with revisions and compare-and-swap.
struct naive_store {
    std::map<std::string, naive_entry> entries;
    std::int64_t revision = 1;

    auto put(std::string const& key, std::string const& value) -> void {
        this->entries[key] = naive_entry{value, ++this->revision};
    }
    auto erase(std::string const& key) -> void {
        this->revision += static_cast<std::int64_t>(this->entries.erase(key));
    }
    auto swap(step const& wanted) -> bool {
        auto const found = this->entries.find(wanted.key);
        auto const seen = found == this->entries.end() ? 0 : found->second.mod_revision;
        if (seen != wanted.expected) {
            return false;
        }
        this->put(wanted.key, wanted.value);
        return true;
    }
};

auto compare_and_swap(step const& wanted) -> transaction_request {
    auto condition = comparison{wanted.key, compare_target::mod_revision};
    condition.number = wanted.expected;
    return transaction_request{{condition}, {put_request{wanted.key, wanted.value}}, {}};
}

auto run(step const& wanted, platform_model& model, naive_store& naive) -> void {
    if (wanted.kind == 0) {
        model.put(put_request{wanted.key, wanted.value}, at(0s));
        naive.put(wanted.key, wanted.value);
    } else if (wanted.kind == 1) {
        model.erase(delete_request{key_range{wanted.key, ""}}, at(0s));
        naive.erase(wanted.key);
    } else {
        auto const outcome = model.transact(compare_and_swap(wanted), at(0s));
        RC_ASSERT(base::value_of(outcome).succeeded == naive.swap(wanted));
    }
}

RC_BOOST_PROP(store_agrees_with_a_naive_map, ()) {
    auto model = platform_model{platform_limits{}};
    auto naive = naive_store{};
    for (auto const& wanted : *rc::gen::container<std::vector<step>>(any_step())) {
        run(wanted, model, naive);
        auto const seen = model.range(range_request{all_keys()}, at(0s));
        RC_ASSERT(seen.entries.size() == naive.entries.size());
        for (auto const& entry : seen.entries) {
            RC_ASSERT(entry.value == naive.entries[entry.key].value);
            RC_ASSERT(entry.mod_revision == naive.entries[entry.key].mod_revision);
        }
        RC_ASSERT(model.revision() == naive.revision);
    }
}

RC_BOOST_PROP(watch_replays_into_the_same_store, ()) {
    auto model = platform_model{platform_limits{}};
    auto naive = naive_store{};
    auto const steps = *rc::gen::container<std::vector<step>>(any_step());
    auto const opened_after = steps.size() / 2;
    auto replayed = std::map<std::string, std::string>{};
    auto watch = std::int64_t{0};
    for (auto index = std::size_t{0}; index <= steps.size(); ++index) {
        if (index == opened_after) {
            watch = model.open_watch(watch_request{all_keys(), 1}, at(0s));
        }
        if (index < steps.size()) {
            run(steps[index], model, naive);
        }
    }
    for (auto const& one : model.poll_watch(watch, at(0s)).changes) {
        if (one->deleted) {
            replayed.erase(one->entry.key);
        } else {
            replayed[one->entry.key] = one->entry.value;
        }
    }
    RC_ASSERT(replayed.size() == naive.entries.size());
    for (auto const& [key, entry] : naive.entries) {
        RC_ASSERT(replayed[key] == entry.value);
    }
}

BOOST_AUTO_TEST_CASE(keys_of_a_lapsed_lease_are_deleted_and_the_watch_says_so) {
    auto model = platform_model{platform_limits{}};
    auto const lease = base::value_of(model.grant_lease(0, 5, at(0s)));
    model.put(put_request{"k", "v", lease.id}, at(0s));
    auto const watch = model.open_watch(watch_request{all_keys(), 0}, at(0s));
    BOOST_TEST(model.keep_alive(lease.id, at(4s)).seconds == 5);
    BOOST_TEST(model.range(range_request{all_keys()}, at(8s)).count == 1);
    BOOST_TEST(model.range(range_request{all_keys()}, at(9s)).count == 0);
    BOOST_TEST(model.keep_alive(lease.id, at(9s)).seconds == 0);
    auto const delivery = model.poll_watch(watch, at(9s));
    BOOST_REQUIRE(delivery.changes.size() == 1);
    BOOST_TEST(delivery.changes.front()->deleted);
}

BOOST_AUTO_TEST_CASE(a_transaction_that_fails_a_check_changes_nothing) {
    auto model = platform_model{platform_limits{.value_bytes = 10}};
    auto request = transaction_request{};
    request.success = {put_request{"a", "1"}, put_request{"b", std::string(11, 'x')}};
    auto const outcome = model.transact(request, at(0s));
    BOOST_TEST((*base::failure_of(outcome) == platform_failure::value_too_large));
    BOOST_TEST(model.range(range_request{all_keys()}, at(0s)).count == 0);
    BOOST_TEST(model.revision() == 1);
}

BOOST_AUTO_TEST_CASE(reads_and_writes_are_limited_apart) {
    auto model = platform_model{platform_limits{.writes_per_second = 2, .reads_per_second = 3}};
    auto const admitted = [&](call_kind kind, int calls, base::duration when) {
        auto count = 0;
        for (auto call = 0; call < calls; ++call) {
            count += static_cast<int>(model.admit(kind, true, at(when)));
        }
        return count;
    };
    BOOST_TEST(admitted(call_kind::put, 5, 0s) == 2);
    BOOST_TEST(admitted(call_kind::range, 5, 0s) == 3);
    BOOST_TEST(admitted(call_kind::watch, 1, 0s) == 0);
    BOOST_TEST(admitted(call_kind::put, 5, 500ms) == 1);
    BOOST_TEST(model.stats().at(call_kind::put).over_rate == 7);
}

BOOST_AUTO_TEST_CASE(host_list_lags_for_ranges_and_watches_but_not_for_transactions) {
    auto model = platform_model{platform_limits{}};
    auto faults = platform_faults{};
    faults.host_list_lag = 2s;
    model.set_faults(faults);
    auto const watch = model.open_watch(watch_request{all_keys(), 0}, at(0s));
    model.put(put_request{"hosts/h1", "live"}, at(0s));
    model.put(put_request{"other", "x"}, at(0s));
    BOOST_TEST(model.range(range_request{all_keys()}, at(1s)).count == 1);
    BOOST_TEST(model.range(range_request{all_keys()}, at(2s)).count == 2);
    auto condition = comparison{"hosts/h1", compare_target::version};
    condition.number = 1;
    auto const outcome = model.transact(transaction_request{{condition}, {}, {}}, at(2s));
    BOOST_TEST(base::value_of(outcome).succeeded);
    BOOST_TEST(model.poll_watch(watch, at(1s)).changes.empty());
    BOOST_TEST(model.poll_watch(watch, at(2s)).changes.size() == 2);
}

BOOST_AUTO_TEST_CASE(a_watch_can_be_late_gappy_and_out_of_order) {
    auto model = platform_model{platform_limits{}};
    auto faults = platform_faults{};
    faults.watch = watch_faults{.delay = 1s, .drop_each = 3, .reorder_each = 2};
    model.set_faults(faults);
    auto const watch = model.open_watch(watch_request{all_keys(), 0}, at(0s));
    for (auto const* value : {"1", "2", "3", "4", "5"}) {
        model.put(put_request{"k", value}, at(0s));
    }
    BOOST_TEST(model.poll_watch(watch, at(999ms)).changes.empty());
    auto seen = std::string{};
    for (auto const& one : model.poll_watch(watch, at(2s)).changes) {
        seen += one->entry.value;
    }
    BOOST_TEST(seen == "1524");
}

BOOST_AUTO_TEST_CASE(a_watch_from_before_compaction_is_told_the_compact_revision) {
    auto model = platform_model{platform_limits{}};
    model.put(put_request{"k", "1"}, at(0s));
    model.put(put_request{"k", "2"}, at(0s));
    model.compact(2);
    auto const old_watch = model.open_watch(watch_request{all_keys(), 2}, at(0s));
    BOOST_TEST((model.poll_watch(old_watch, at(0s)).compact_revision == 3));
    auto const new_watch = model.open_watch(watch_request{all_keys(), 3}, at(0s));
    BOOST_TEST(model.poll_watch(new_watch, at(0s)).changes.size() == 1);
}

BOOST_AUTO_TEST_CASE(restoring_a_copy_turns_the_revision_back_and_ends_watches) {
    auto model = platform_model{platform_limits{}};
    model.put(put_request{"hosts/a", "old"}, at(0s));
    model.keep_copy("before");
    model.put(put_request{"hosts/a", "new"}, at(0s));
    auto const watch = model.open_watch(watch_request{all_keys(), 0}, at(0s));
    BOOST_TEST(!model.restore_copy("unknown", at(0s)));
    BOOST_TEST(model.restore_copy("before", at(0s)));
    BOOST_TEST(model.revision() == 2);
    auto const seen = model.range(range_request{all_keys()}, at(0s));
    BOOST_TEST(seen.entries.front().value == "old");
    BOOST_TEST(model.poll_watch(watch, at(0s)).ended);
}

}  // namespace
}  // namespace linnetlane::standin
