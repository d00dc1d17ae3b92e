#include "linnetlane/standin/engine_model.h"

#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::standin {
namespace {

using namespace std::chrono_literals;

auto at(base::duration since_start) -> base::time_point {
    return base::time_point{} + 1h + since_start;
}

// Prefill at 1,000 tokens per second, decode steps of 10 ms, transfers at 1 ms per token.
auto small_engine() -> engine_settings {
    auto settings = engine_settings{};
    settings.pieces = base::piece_count{4};
    settings.slots = 2;
    settings.prefill_rate = base::token_rate{1000};
    settings.base_interval = 10ms;
    settings.interval_per_running = 0ms;
    settings.link_rate = base::byte_count{1'000'000};
    settings.kv_bytes_per_token = base::byte_count{1000};
    return settings;
}

auto prefill_of(std::string id, std::int64_t tokens, std::int64_t priority = 0) -> prefill_request {
    return prefill_request{std::move(id), priority, base::token_count{tokens}};
}

auto decode_of(std::string id, std::int64_t prompt, std::int64_t output) -> decode_request {
    auto request = decode_request{};
    request.request_id = std::move(id);
    request.prompt = base::token_count{prompt};
    request.output_bound = base::token_count{output};
    request.end = output;
    request.imports = true;
    return request;
}

template <typename Notice>
auto count_of(std::vector<engine_notice> const& notices) -> std::ptrdiff_t {
    return std::ranges::count_if(
        notices, [](auto const& one) { return std::holds_alternative<Notice>(one); });
}

// Runs a decode job through its import without failures.
auto let_run(engine_model& engine, job_number job, base::time_point now) -> void {
    engine.begin_import(job, true, now);
    while (count_of<transfer_finished>(engine.advance(now)) == 0) {
        now = *engine.next_due();
    }
    engine.finish_import(job, true, now);
}

BOOST_AUTO_TEST_CASE(prefills_run_one_at_a_time_by_priority_then_arrival) {
    auto engine = engine_model{small_engine()};
    auto const first = engine.submit_prefill(prefill_of("a", 1000, 5), at(0s));
    auto const late = engine.submit_prefill(prefill_of("b", 1000, 5), at(0s));
    auto const urgent = engine.submit_prefill(prefill_of("c", 1000, 1), at(0s));
    auto finished = std::vector<job_number>{};
    for (auto const& notice : engine.advance(at(3s))) {
        finished.push_back(job_of(notice));
    }
    BOOST_TEST((finished == std::vector<job_number>{first, urgent, late}));
}

BOOST_AUTO_TEST_CASE(a_result_nobody_fetched_expires_and_counts_as_wasted) {
    auto engine = engine_model{small_engine()};
    auto const job = engine.submit_prefill(prefill_of("a", 1000), at(0s));
    engine.advance(at(1s));
    BOOST_TEST((engine.export_begin(job, at(1799ms)) == base::token_count{1000}));
    BOOST_TEST(!engine.export_done(job, at(1800ms)));
    BOOST_TEST(engine.stats().expired == base::token_count{1000});
    BOOST_TEST(engine.stats().imported == base::token_count{0});
}

BOOST_AUTO_TEST_CASE(a_cancelled_prefill_wastes_only_the_computed_part) {
    auto engine = engine_model{small_engine()};
    auto const job = engine.submit_prefill(prefill_of("a", 1000), at(0s));
    engine.advance(at(250ms));
    engine.cancel(job, at(250ms));
    BOOST_TEST(engine.stats().cancelled == base::token_count{250});
    BOOST_TEST(engine.advance(at(5s)).empty());
}

BOOST_AUTO_TEST_CASE(a_cached_prefix_is_not_computed_again) {
    auto engine = engine_model{small_engine()};
    auto request = prefill_of("a", 5000);
    request.prefixes = {base::prefix_hash{1}, base::prefix_hash{2}};
    engine.submit_prefill(request, at(0s));
    engine.advance(at(5s));
    engine.submit_prefill(request, at(5s));
    BOOST_TEST((engine.next_due() == at(5800ms)));
    engine.advance(at(6s));
    BOOST_TEST(engine.stats().from_cache == base::token_count{4000});
    BOOST_TEST(engine.stats().prefilled == base::token_count{6000});
}

BOOST_AUTO_TEST_CASE(a_request_beyond_memory_waits_in_the_engine_and_is_counted) {
    auto engine = engine_model{small_engine()};
    auto const large = base::value_of(engine.submit_decode(decode_of("a", 5000, 1), at(0s)));
    engine.submit_decode(decode_of("b", 3000, 1), at(0s));
    BOOST_TEST(engine.stats().over_grant_waits == 1);
    BOOST_TEST(count_of<import_requested>(engine.advance(at(0s))) == 1);
    engine.cancel(large, at(1s));
    BOOST_TEST(count_of<import_requested>(engine.advance(at(1s))) == 1);
    BOOST_TEST(engine.held().at("b") == base::piece_count{2});
    auto const refused = engine.submit_decode(decode_of("c", 8000, 1), at(1s));
    BOOST_TEST((*base::failure_of(refused) == decode_refusal::too_large));
}

BOOST_AUTO_TEST_CASE(imports_share_one_link_and_then_stream_by_offset) {
    auto engine = engine_model{small_engine()};
    auto const one = base::value_of(engine.submit_decode(decode_of("a", 1000, 2), at(0s)));
    auto const two = base::value_of(engine.submit_decode(decode_of("b", 1000, 2), at(0s)));
    engine.begin_import(one, true, at(0s));
    engine.begin_import(two, true, at(0s));
    BOOST_TEST(count_of<transfer_finished>(engine.advance(at(1s))) == 1);
    engine.finish_import(one, true, at(1s));
    BOOST_TEST(count_of<token_produced>(engine.advance(at(1020ms))) == 2);
    BOOST_TEST(!engine.held().contains("a"));
    BOOST_TEST(count_of<transfer_finished>(engine.advance(at(2s))) == 1);
}

BOOST_AUTO_TEST_CASE(an_import_of_an_expired_result_fails_and_frees_memory) {
    auto engine = engine_model{small_engine()};
    auto const job = base::value_of(engine.submit_decode(decode_of("a", 1000, 2), at(0s)));
    engine.begin_import(job, false, at(0s));
    BOOST_TEST(count_of<job_failed>(engine.advance(at(0s))) == 1);
    BOOST_TEST(engine.held().empty());
}

BOOST_AUTO_TEST_CASE(a_stalled_transfer_goes_on_after_the_stall) {
    auto engine = engine_model{small_engine()};
    auto const job = base::value_of(engine.submit_decode(decode_of("a", 1000, 2), at(0s)));
    engine.begin_import(job, true, at(0s));
    engine.set_transfer_stall(true, at(500ms));
    BOOST_TEST(count_of<transfer_finished>(engine.advance(at(10s))) == 0);
    engine.set_transfer_stall(false, at(10s));
    BOOST_TEST(count_of<transfer_finished>(engine.advance(at(11s))) == 1);
}

BOOST_AUTO_TEST_CASE(abort_frees_every_stage_and_can_be_repeated) {
    auto engine = engine_model{small_engine()};
    let_run(engine, base::value_of(engine.submit_decode(decode_of("a", 100, 50), at(0s))), at(0s));
    engine.submit_decode(decode_of("a", 100, 50), at(1s));
    engine.submit_decode(decode_of("a", 100, 50), at(1s));
    auto const ended = engine.abort("a", at(1s));
    BOOST_TEST(ended.jobs.size() == 3);
    BOOST_TEST(ended.pieces == base::piece_count{2});
    BOOST_TEST(engine.abort("a", at(1s)).jobs.empty());
    BOOST_TEST((engine.actual_load() == engine_load{}));
}

BOOST_AUTO_TEST_CASE(an_order_with_an_old_fencing_number_is_refused_only_where_checked) {
    for (auto const checks : {true, false}) {
        auto settings = small_engine();
        settings.checks_fencing = checks;
        auto engine = engine_model{settings};
        engine.execute_order(engine_order{"load_model", "m", "2", 7}, at(0s));
        auto const outcome = engine.execute_order(engine_order{"load_model", "m", "1", 6}, at(0s));
        BOOST_TEST((outcome == (checks ? order_outcome::old_fencing : order_outcome::done)));
        BOOST_TEST(engine.state().version == (checks ? "2" : "1"));
    }
}

BOOST_AUTO_TEST_CASE(reported_load_is_the_load_of_a_while_ago) {
    auto engine = engine_model{small_engine()};
    engine.submit_decode(decode_of("a", 3000, 10), at(1s));
    BOOST_TEST(engine.reported_load(at(1499ms)).pieces_used == base::piece_count{0});
    BOOST_TEST(engine.reported_load(at(1500ms)).pieces_used == base::piece_count{2});
}

BOOST_AUTO_TEST_CASE(cache_events_come_late_and_with_gaps) {
    auto settings = cache_settings{};
    settings.gap_each = 2;
    settings.capacity = base::piece_count{2};
    auto cache = prefix_cache{settings};
    for (auto hash = std::uint64_t{1}; hash <= 3; ++hash) {
        cache.store({base::prefix_hash{hash}}, at(0s));
    }
    BOOST_TEST(cache.changes_after(0, at(499ms)).empty());
    auto const seen = cache.changes_after(0, at(500ms));
    BOOST_REQUIRE(seen.size() == 2);
    BOOST_TEST(seen[0].sequence == 1);
    BOOST_TEST(seen[1].sequence == 3);
    BOOST_TEST((seen[1].evicted == std::vector{base::prefix_hash{1}}));
}

// ---- Conservation ----

auto total_held(engine_model const& engine) -> base::piece_count {
    auto total = base::piece_count{};
    for (auto const& [request, pieces] : engine.held()) {
        total += pieces;
    }
    return total;
}

// Answers the engine's import requests. The start fails for every third job number, the
// confirmation for every fifth.
auto answer_imports(engine_model& engine, std::vector<engine_notice> const& notices,
                    base::time_point now) -> void {
    for (auto const& notice : notices) {
        auto const job = job_of(notice);
        if (std::holds_alternative<import_requested>(notice)) {
            engine.begin_import(job, job.value % 3 != 0, now);
        } else if (std::holds_alternative<transfer_finished>(notice)) {
            engine.finish_import(job, job.value % 5 != 0, now);
        }
    }
}

auto random_action(engine_model& engine, base::time_point now) -> void {
    auto const id = std::to_string(*rc::gen::inRange(0, 6));
    auto const tokens = *rc::gen::inRange(1, 6000);
    auto const number = job_number{static_cast<std::uint64_t>(*rc::gen::inRange(1, 20))};
    switch (*rc::gen::inRange(0, 6)) {
        case 0:
            engine.submit_prefill(prefill_of(id, tokens), now);
            break;
        case 1:
        case 2:
            engine.submit_decode(decode_of(id, tokens, 5), now);
            break;
        case 3:
            engine.cancel(number, now);
            break;
        case 4:
            engine.abort(id, now);
            break;
        default:
            engine.export_done(number, now);
    }
}

auto check_conserved(engine_model const& engine) -> void {
    auto const& counts = engine.stats();
    auto const accounted =
        counts.imported + counts.expired + counts.cancelled + engine.kept_tokens();
    RC_ASSERT(counts.prefilled == accounted);
    RC_ASSERT(total_held(engine) <= small_engine().pieces);
}

RC_BOOST_PROP(memory_and_prefill_are_conserved_whatever_happens, ()) {
    auto engine = engine_model{small_engine()};
    auto now = at(0s);
    auto const steps = *rc::gen::inRange(0, 60);
    for (auto step = 0; step < steps; ++step) {
        now += std::chrono::milliseconds{*rc::gen::inRange(0, 1500)};
        answer_imports(engine, engine.advance(now), now);
        random_action(engine, now);
        check_conserved(engine);
    }
    for (auto round = 0; round < 200; ++round) {
        now += 10s;
        answer_imports(engine, engine.advance(now), now);
        check_conserved(engine);
    }
    RC_ASSERT(total_held(engine) == base::piece_count{0});
    RC_ASSERT(engine.actual_load() == engine_load{});
}

}  // namespace
}  // namespace linnetlane::standin
