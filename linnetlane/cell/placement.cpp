#include "linnetlane/cell/placement.h"

#include <algorithm>

#include <xxhash.h>

namespace linnetlane::cell {
namespace {

// How much later than the best engine the engine chosen by rendezvous hashing may end the prefill.
constexpr base::duration affinity_slack = std::chrono::milliseconds{20};
// Tokens that are prefilled even if the whole prompt is cached.
constexpr std::int64_t min_prefill_tokens = 1;
// Bounds the engines examined if the first ones are avoided.
constexpr int max_engines_examined = 8;

auto mix(std::uint64_t left, std::uint64_t right) -> std::uint64_t {
    auto value = left ^ (right + 0x9E3779B97F4A7C15ULL + (left << 6U) + (left >> 2U));
    value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
    return value ^ (value >> 31U);
}

auto first_idle(upstream_pool const& pool, acquire const& message)
    -> std::optional<upstream_index> {
    auto examined = 0;
    for (auto const& [at, engine] : pool.by_idle()) {
        if (!is_avoided(pool, engine, message.avoid)) {
            return engine;
        }
        examined += 1;
        if (examined == max_engines_examined) {
            break;
        }
    }
    return std::nullopt;
}

}  // namespace

auto rendezvous::assign(upstream_pool const& pool, std::vector<upstream_index> const& engines)
    -> void {
    for (auto& group : this->groups) {
        group.clear();
    }
    for (auto const engine : engines) {
        auto const& name = pool.at(engine).settings.id.value;
        auto const hash = XXH3_64bits(name.data(), name.size());
        this->groups[hash % group_count].push_back({hash, engine});
    }
}

auto rendezvous::choose(std::uint64_t key) const -> std::optional<upstream_index> {
    auto const* best_group = static_cast<std::vector<member> const*>(nullptr);
    auto best = std::uint64_t{0};
    for (auto place = std::size_t{0}; place < group_count; ++place) {
        auto const weight = mix(key, place);
        if (!this->groups[place].empty() && (best_group == nullptr || weight > best)) {
            best_group = &this->groups[place];
            best = weight;
        }
    }
    if (best_group == nullptr) {
        return std::nullopt;
    }
    auto const winner = std::max_element(best_group->begin(), best_group->end(),
                                         [&](member const& left, member const& right) {
                                             return mix(key, left.hash) < mix(key, right.hash);
                                         });
    return winner->engine;
}

auto is_avoided(upstream_pool const& pool, upstream_index engine,
                std::vector<base::upstream_id> const& avoid) -> bool {
    return std::find(avoid.begin(), avoid.end(), pool.at(engine).settings.id) != avoid.end();
}

auto plan_prefill_on(upstream_pool const& pool, estimates const& learned, upstream_index engine,
                     base::token_count cached, acquire const& message, base::time_point now)
    -> prefill_plan {
    auto const& state = pool.at(engine);
    auto plan = prefill_plan{};
    plan.engine = engine;
    plan.tokens = std::max(message.prompt - cached, base::token_count{min_prefill_tokens});
    plan.start = std::max(now, state.idle_at);
    plan.end = plan.start + learned.prefill_time(plan.tokens, state.samples);
    return plan;
}

auto plan_prefill(upstream_pool const& pool, estimates const& learned, prefix_index& prefixes,
                  rendezvous const& affinity, base::token_count piece_size, acquire const& message,
                  base::time_point now) -> std::optional<prefill_plan> {
    auto const idle = first_idle(pool, message);
    if (!idle) {
        return std::nullopt;
    }
    auto best = plan_prefill_on(pool, learned, *idle, base::token_count{0}, message, now);
    auto const usable = [&](upstream_index engine) {
        return pool.at(engine).idle_key && !is_avoided(pool, engine, message.avoid);
    };
    if (message.prefixes.empty()) {
        return best;
    }
    auto const home = affinity.choose(message.prefixes.front().value);
    if (home && usable(*home)) {
        auto const plan = plan_prefill_on(pool, learned, *home, base::token_count{0}, message, now);
        if (plan.end <= best.end + affinity_slack) {
            best = plan;
        }
    }
    for (auto const& match : prefixes.longest(message.prefixes)) {
        if (!usable(match.engine)) {
            continue;
        }
        auto const pieces = static_cast<std::int64_t>(match.pieces);
        auto const cached = base::token_count{pieces * piece_size.value};
        auto const plan = plan_prefill_on(pool, learned, match.engine, cached, message, now);
        if (plan.end <= best.end) {
            best = plan;
        }
    }
    return best;
}

}  // namespace linnetlane::cell
