#include "linnetlane/routing/generation_pool.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "linnetlane/routing/derived_draw.h"
#include "linnetlane/routing/moving_mean.h"

namespace linnetlane::routing {

namespace {

constexpr auto newest_weight = 0.05;
// The range of the random part of the cost, in multiples of the mean request. Keeps hosts with the
// same view from choosing the same engine.
constexpr auto draw_spread = 0.5;
// The weights with which the prefill time per token follows shorter and longer samples. Longer ones
// often come from work at the engine that this host doesn't know of.
constexpr auto shorter_time_weight = 0.2;
constexpr auto longer_time_weight = 0.01;
// The cost of transferring a prefill result to another data centre, in multiples of the mean
// request. The transfer takes longer there, so the caller is served sooner by a nearer engine
// unless its queue is longer by half a request.
constexpr auto cross_data_centre_cost = 0.5;

}  // namespace

auto expected_output(generation_size const& size) -> double {
    auto const median =
        generation_pool::median_output_fraction * static_cast<double>(size.max_output.value);
    if (!size.expected_output) {
        return median;
    }
    return std::sqrt(median * static_cast<double>(size.expected_output->value));
}

auto memory_to_reserve(generation_size const& size, double margin) -> base::token_count {
    auto const bound = static_cast<double>(size.max_output.value);
    auto const reserved = std::min(margin * expected_output(size), bound);
    return size.prompt + base::token_count{static_cast<std::int64_t>(std::ceil(reserved))};
}

auto generation_pool::set_members(std::vector<upstream_record> const& records) -> void {
    auto listed = std::set<base::upstream_id>{};
    for (auto const& record : records) {
        if (!record.stage) {
            continue;
        }
        listed.insert(record.id);
        auto& one = this->members[record.id];
        one.stage = *record.stage;
        one.data_centre = record.data_centre;
        one.software = record.software;
        one.leaving = record.leaving;
    }
    std::erase_if(this->members, [&](auto const& entry) { return !listed.contains(entry.first); });
}

auto generation_pool::decode_candidates(std::size_t limit, double draw, base::time_point now,
                                        std::optional<base::software_version> const& required) const
    -> std::vector<base::upstream_id> {
    using ranked = std::tuple<bool, bool, double, base::upstream_id>;
    auto order = std::vector<ranked>{};
    auto index = std::size_t{0};
    auto const usual = this->usual_others(engine_stage::decode, now);
    for (auto const& [id, one] : this->members) {
        ++index;
        if (one.leaving || one.stage != engine_stage::decode || this->pauses.is_blocked(id, now) ||
            (required && one.software != *required)) {
            continue;
        }
        auto const load = this->felt_load(one, usual, this->usual_tokens(), one.pace.at(now), now);
        auto const cost = load + draw_spread * this->usual_tokens() * derived_draw(draw, index);
        order.emplace_back(this->is_last_resort(one, now), now < one.full_until, cost, id);
    }
    std::ranges::sort(order);
    auto chosen = std::vector<base::upstream_id>{};
    for (auto const& [last_resort, full, cost, id] : order) {
        if (chosen.size() == limit) {
            break;
        }
        chosen.push_back(id);
    }
    return chosen;
}

auto generation_pool::prefill_candidate(std::set<base::upstream_id> const& tried,
                                        base::upstream_id const& destination, double draw,
                                        base::time_point now) const
    -> std::optional<base::upstream_id> {
    auto const decode_engine = this->members.find(destination);
    using ranked = std::tuple<bool, bool, double, base::upstream_id>;
    auto best = std::optional<ranked>{};
    auto index = std::size_t{0};
    auto const usual = this->usual_others(engine_stage::prefill, now);
    auto const common = this->common_speed(now);
    for (auto const& [id, one] : this->members) {
        ++index;
        if (one.leaving || one.stage != engine_stage::prefill || tried.contains(id) ||
            this->pauses.is_blocked(id, now)) {
            continue;
        }
        auto const same_data_centre = decode_engine != this->members.end() &&
                                      decode_engine->second.data_centre == one.data_centre;
        auto const spread = draw_spread * derived_draw(draw, index) +
                            (same_data_centre ? 0 : cross_data_centre_cost);
        auto const load =
            this->felt_load(one, usual, this->mean_prompt, this->slowdown(one, common, now), now);
        auto const cost = load + spread * this->usual_tokens();
        auto const candidate =
            ranked{this->is_last_resort(one, now), now < one.full_until, cost, id};
        if (!best || candidate < *best) {
            best = candidate;
        }
    }
    return best ? std::optional{std::get<3>(*best)} : std::nullopt;
}

auto generation_pool::expected_prefill_time(std::set<base::upstream_id> const& tried,
                                            base::token_count prompt, base::time_point now) const
    -> base::duration {
    auto least = std::optional<double>{};
    auto const usual = this->usual_others(engine_stage::prefill, now);
    auto const common = this->common_speed(now);
    auto const tokens = static_cast<double>(prompt.value);
    for (auto const& [id, one] : this->members) {
        if (one.leaving || one.stage != engine_stage::prefill || tried.contains(id) ||
            this->pauses.is_blocked(id, now) || this->is_last_resort(one, now) ||
            now < one.full_until) {
            continue;
        }
        auto const felt =
            (this->load_of(one, usual, now) + tokens) * this->slowdown(one, common, now);
        least = std::min(least.value_or(felt), felt);
    }
    return base::from_seconds(least.value_or(tokens) * this->seconds_per_token);
}

auto generation_pool::prefill_rate(base::time_point now) const -> double {
    auto const common = this->common_speed(now);
    auto usable = 0.0;
    for (auto const& [id, one] : this->members) {
        if (one.stage == engine_stage::prefill && !one.leaving &&
            !this->pauses.is_blocked(id, now) && !this->is_last_resort(one, now)) {
            usable += 1 / one.speed.slowness(common, now);
        }
    }
    auto const seconds = this->seconds_per_token * this->mean_prompt;
    return seconds > 0 ? usable / seconds : 0;
}

auto generation_pool::note_prefill_time(base::token_count prompt, double ahead, base::duration took)
    -> void {
    auto const tokens = ahead + static_cast<double>(prompt.value);
    if (tokens <= 0) {
        return;
    }
    auto const sample = base::to_seconds(took) / tokens;
    auto const weight = sample < this->seconds_per_token ? shorter_time_weight : longer_time_weight;
    update_moving_mean(this->seconds_per_token, sample, weight);
}

auto generation_pool::note_prefill_time(base::upstream_id const& id, base::token_count prompt,
                                        double ahead, base::duration took, base::time_point now)
    -> void {
    auto const found = this->members.find(id);
    if (found == this->members.end()) {
        this->note_prefill_time(prompt, ahead, took);
        return;
    }
    auto& one = found->second;
    auto const tokens = ahead + static_cast<double>(prompt.value);
    auto const seconds = base::to_seconds(took) / one.pace.at(now);
    if (tokens <= 0 || seconds <= 0) {
        return;
    }
    one.speed.note(seconds / tokens, now);
    auto const slowness = one.speed.slowness(this->common_speed(now), now);
    this->note_prefill_time(prompt, ahead, base::from_seconds(seconds / slowness));
}

auto generation_pool::note_decode_time(generation_size const& size, base::duration took) -> void {
    auto const tokens = expected_output(size);
    if (tokens > 0 && took > base::duration::zero()) {
        update_moving_mean(this->seconds_per_output_token, base::to_seconds(took) / tokens,
                           newest_weight);
    }
}

auto generation_pool::prefill_slowness(base::upstream_id const& id, base::time_point now) const
    -> double {
    auto const found = this->members.find(id);
    return found == this->members.end()
               ? 1
               : found->second.speed.slowness(this->common_speed(now), now);
}

auto generation_pool::note_prefill_timeout(base::upstream_id const& id, base::duration waited,
                                           base::time_point now) -> void {
    auto const found = this->members.find(id);
    if (found == this->members.end() || this->seconds_per_token == 0 || this->mean_prompt == 0) {
        return;
    }
    auto const slowdown = this->slowdown(found->second, this->common_speed(now), now);
    auto const queued =
        base::to_seconds(waited) / slowdown / this->seconds_per_token / this->mean_prompt;
    found->second.others.note(load_report{0, static_cast<std::size_t>(queued), 1}, 0,
                              now + prefill_timeout_validity);
}

auto generation_pool::tokens_under_way(base::upstream_id const& id, base::time_point now) const
    -> double {
    auto const found = this->members.find(id);
    return found == this->members.end()
               ? 0
               : this->load_of(found->second, this->usual_others(found->second.stage, now), now);
}

auto generation_pool::paused_for(base::time_point now) const -> base::duration {
    auto least = std::map<engine_stage, base::duration>{};
    for (auto const& [id, one] : this->members) {
        if (!one.leaving) {
            auto const left = this->pauses.blocked_for(id, now);
            auto& known = least.try_emplace(one.stage, left).first->second;
            known = std::min(known, left);
        }
    }
    auto longest = base::duration::zero();
    for (auto const& [stage, left] : least) {
        longest = std::max(longest, left);
    }
    return longest;
}

auto generation_pool::note_full(base::upstream_id const& id, base::time_point now) -> void {
    if (auto const found = this->members.find(id); found != this->members.end()) {
        found->second.full_until = now + full_cooldown;
        this->reachability->note_answer(found->second.data_centre, now);
    }
}

auto generation_pool::note_replaced(base::upstream_id const& id, base::time_point now) -> void {
    if (auto const found = this->members.find(id); found != this->members.end()) {
        found->second.full_until = now + replaced_cooldown;
    }
}

auto generation_pool::begin(base::upstream_id const& id, base::token_count tokens) -> void {
    update_moving_mean(this->mean_tokens, static_cast<double>(tokens.value), newest_weight);
    if (auto const found = this->members.find(id); found != this->members.end()) {
        found->second.under_way += tokens;
        ++found->second.requests;
        if (found->second.stage == engine_stage::prefill) {
            update_moving_mean(this->mean_prompt, static_cast<double>(tokens.value), newest_weight);
        }
    }
}

auto generation_pool::end(base::upstream_id const& id, base::token_count tokens) -> void {
    if (auto const found = this->members.find(id); found != this->members.end()) {
        auto& one = found->second;
        one.under_way -= std::min(one.under_way, tokens);
        one.requests -= std::min<std::size_t>(one.requests, 1);
    }
}

auto generation_pool::note_outcome(base::upstream_id const& id, exchange_outcome outcome,
                                   base::time_point now) -> void {
    auto const found = this->members.find(id);
    if (found == this->members.end()) {
        return;
    }
    this->reachability->note(found->second.data_centre, outcome, now);
    found->second.health.note(outcome, failure_rate_of_others(this->members, id), now);
}

auto generation_pool::note_load(base::upstream_id const& id, load_report const& load,
                                base::time_point now) -> void {
    if (auto const found = this->members.find(id); found != this->members.end()) {
        found->second.others.note(load, found->second.requests, now + load_report_validity);
        found->second.pace.note(load, now);
    }
}

auto generation_pool::usual_others(engine_stage stage, base::time_point now) const -> double {
    auto total = 0.0;
    auto reports = 0.0;
    for (auto const& [id, one] : this->members) {
        if (one.stage == stage && one.others.is_known(now)) {
            total += static_cast<double>(one.others.at(now));
            ++reports;
        }
    }
    return reports > 0 ? total / reports : 0;
}

// Engines count by the samples that are known of them, so that one prefill at a new engine doesn't
// move what is known of the others.
auto generation_pool::common_speed(base::time_point now) const -> double {
    auto total = 0.0;
    auto weights = 0.0;
    for (auto const& [id, one] : this->members) {
        if (one.stage == engine_stage::prefill) {
            auto const samples = one.speed.samples_at(now);
            auto const weight = samples / (samples + prefill_speed::prior_samples);
            total += weight * one.speed.mean();
            weights += weight;
        }
    }
    return weights > 0 ? total / weights : 0;
}

auto generation_pool::slowdown(member const& one, double common, base::time_point now) const
    -> double {
    return one.speed.slowness(common, now) * one.pace.at(now);
}

// Equals the load alone at a slowdown of 1.
auto generation_pool::felt_load(member const& one, double usual_others, double usual_work,
                                double slowdown, base::time_point now) const -> double {
    auto const load = this->load_of(one, usual_others, now);
    return load + (slowdown - 1) * (load + usual_work);
}

auto generation_pool::load_of(member const& one, double usual_others, base::time_point now) const
    -> double {
    auto const per_request =
        one.stage == engine_stage::prefill ? this->mean_prompt : this->usual_tokens();
    auto const others =
        one.others.is_known(now) ? static_cast<double>(one.others.at(now)) : usual_others;
    return static_cast<double>(one.under_way.value) + others * per_request;
}

}  // namespace linnetlane::routing
