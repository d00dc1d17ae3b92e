#include "linnetlane/standin/engine_model.h"

#include <algorithm>
#include <utility>

namespace linnetlane::standin {

namespace {

auto scale_duration(base::duration span, double speed) -> base::duration {
    return base::from_seconds(base::to_seconds(span) / speed);
}

auto earliest(std::optional<base::time_point> left, std::optional<base::time_point> right)
    -> std::optional<base::time_point> {
    if (!left || !right) {
        return left ? left : right;
    }
    return std::min(*left, *right);
}

// The tokens of `prompt` beyond the `cached` pieces; at least 1, since the engine always computes
// one.
auto uncached_tokens(base::token_count prompt, base::piece_count cached,
                     base::token_count piece_size) -> base::token_count {
    auto const rest = prompt.value - cached.value * piece_size.value;
    return base::token_count{std::max(std::int64_t{1}, rest)};
}

}  // namespace

auto scaled(engine_settings settings, double speed) -> engine_settings {
    settings.prefill_rate.per_second *= speed;
    settings.base_interval = scale_duration(settings.base_interval, speed);
    settings.interval_per_running = scale_duration(settings.interval_per_running, speed);
    settings.link_rate.value =
        static_cast<std::int64_t>(static_cast<double>(settings.link_rate.value) * speed);
    settings.result_kept = scale_duration(settings.result_kept, speed);
    settings.load_lag = scale_duration(settings.load_lag, speed);
    settings.model_load = scale_duration(settings.model_load, speed);
    settings.cache.event_lag = scale_duration(settings.cache.event_lag, speed);
    return settings;
}

auto job_of(engine_notice const& notice) -> job_number {
    return std::visit([](auto const& one) { return one.job; }, notice);
}

engine_model::engine_model(engine_settings const& wanted)
    : settings(wanted), prefixes(wanted.cache) {
    this->current_state.role = wanted.role;
    this->loads.push_back(load_sample{});
}

// ---- Prefill ----

auto engine_model::submit_prefill(prefill_request const& request, base::time_point now)
    -> job_number {
    auto const job = this->next_job;
    this->next_job = job.next();
    ++this->counts.runs[request.request_id].prefill;
    this->prefills.emplace(job, request);
    this->prefill_queue.insert(queue_key{request.priority, job});
    this->start_prefill(now);
    this->record_load(now);
    return job;
}

// The time that prefill of `tokens` prompt tokens takes.
auto engine_model::prefill_time(base::token_count tokens) const -> base::duration {
    auto const seconds = static_cast<double>(tokens.value) / this->settings.prefill_rate.per_second;
    return base::from_seconds(seconds * this->slowdown);
}

auto engine_model::start_prefill(base::time_point at) -> void {
    if (this->prefilling || this->prefill_queue.empty()) {
        return;
    }
    auto const job = this->prefill_queue.begin()->job;
    this->prefill_queue.erase(this->prefill_queue.begin());
    auto const& request = this->prefills.at(job);
    auto const cached = this->prefixes.match(request.prefixes);
    auto run = prefill_run{};
    run.job = job;
    run.computed = uncached_tokens(request.prompt, cached, this->settings.piece_size);
    run.cached = request.prompt - run.computed;
    run.started = at;
    run.done_at = at + this->prefill_time(run.computed);
    this->prefilling = run;
}

auto engine_model::finish_prefill(base::time_point at) -> void {
    auto const run = *this->prefilling;
    auto const request = this->prefills.at(run.job);
    this->prefills.erase(run.job);
    this->prefilling.reset();
    this->counts.prefilled += run.computed;
    this->counts.from_cache += run.cached;
    this->prefixes.store(request.prefixes, at);
    this->kept[run.job] = kept_result{request.request_id, request.prompt, run.computed,
                                      at + this->settings.result_kept};
    this->notices.emplace_back(prefill_done{run.job, request.prompt, run.cached});
    this->start_prefill(at);
}

auto engine_model::expire_results(base::time_point at) -> void {
    for (auto next = this->kept.begin(); next != this->kept.end();) {
        if (next->second.kept_until > at) {
            ++next;
            continue;
        }
        this->counts.expired += next->second.computed;
        next = this->kept.erase(next);
    }
}

auto engine_model::cancel_prefill(job_number job, base::time_point now) -> void {
    auto const found = this->prefills.find(job);
    if (found == this->prefills.end()) {
        return;
    }
    this->prefill_queue.erase(queue_key{found->second.priority, job});
    this->prefills.erase(found);
    if (!this->prefilling || this->prefilling->job != job) {
        return;
    }
    auto const& run = *this->prefilling;
    auto const whole = base::to_seconds(run.done_at - run.started);
    auto const share = whole > 0 ? base::to_seconds(now - run.started) / whole : 1.0;
    auto const part = static_cast<double>(run.computed.value) * std::clamp(share, 0.0, 1.0);
    auto const computed = base::token_count{static_cast<std::int64_t>(part)};
    this->counts.prefilled += computed;
    this->counts.cancelled += computed;
    this->prefilling.reset();
    this->start_prefill(now);
}

auto engine_model::export_begin(job_number job, base::time_point now)
    -> std::optional<base::token_count> {
    this->expire_results(now);
    auto const found = this->kept.find(job);
    if (found == this->kept.end()) {
        return std::nullopt;
    }
    return found->second.prompt;
}

auto engine_model::export_done(job_number job, base::time_point now) -> bool {
    this->expire_results(now);
    auto const found = this->kept.find(job);
    if (found == this->kept.end()) {
        return false;
    }
    this->counts.imported += found->second.computed;
    this->kept.erase(found);
    this->record_load(now);
    return true;
}

// ---- Decode ----

auto engine_model::submit_decode(decode_request const& request, base::time_point now)
    -> base::result<job_number, decode_refusal> {
    auto job = decode_job{};
    job.request = request;
    job.pieces = base::pieces_for(request.prompt + request.output_bound, this->settings.piece_size);
    job.next_offset = request.begin;
    if (job.pieces > this->settings.pieces) {
        return decode_refusal::too_large;
    }
    auto const number = this->next_job;
    this->next_job = number.next();
    ++this->counts.runs[request.request_id].decode;
    this->decodes.emplace(number, std::move(job));
    this->decode_queue.insert(queue_key{request.priority, number});
    this->admit_waiting(now);
    if (this->decodes.at(number).at == stage::waiting) {
        ++this->counts.over_grant_waits;
    }
    this->record_load(now);
    return number;
}

auto engine_model::fits(decode_job const& job) const -> bool {
    return this->slots_used < this->settings.slots &&
           this->pieces_used + job.pieces <= this->settings.pieces;
}

auto engine_model::admit_waiting(base::time_point at) -> void {
    while (!this->decode_queue.empty()) {
        auto const number = this->decode_queue.begin()->job;
        auto& job = this->decodes.at(number);
        if (!this->fits(job)) {
            return;
        }
        this->decode_queue.erase(this->decode_queue.begin());
        this->start_decode(number, job, at);
    }
}

auto engine_model::start_decode(job_number number, decode_job& job, base::time_point at) -> void {
    this->pieces_used += job.pieces;
    ++this->slots_used;
    if (job.request.imports) {
        job.at = stage::requesting;
        this->notices.emplace_back(import_requested{number});
        return;
    }
    auto const cached = this->prefixes.match(job.request.prefixes);
    auto const computed = uncached_tokens(job.request.prompt, cached, this->settings.piece_size);
    this->counts.local_prefilled += computed;
    this->local_prefill_free_at =
        std::max(at, this->local_prefill_free_at) + this->prefill_time(computed);
    job.at = stage::prefilling;
    job.due = this->local_prefill_free_at;
}

auto engine_model::begin_import(job_number number, bool found, base::time_point now) -> void {
    auto const job = this->decodes.find(number);
    if (job == this->decodes.end() || job->second.at != stage::requesting) {
        return;
    }
    if (found) {
        this->begin_transfer(job->second, now);
        return;
    }
    ++this->counts.imports_failed;
    this->notices.emplace_back(job_failed{number});
    this->end_decode(number, now);
}

auto engine_model::begin_transfer(decode_job& job, base::time_point at) -> void {
    job.at = stage::transferring;
    job.due.reset();
    if (this->transfers_stalled) {
        return;
    }
    auto const bytes = job.request.prompt.value * this->settings.kv_bytes_per_token.value;
    auto const seconds =
        static_cast<double>(bytes) / static_cast<double>(this->settings.link_rate.value);
    this->link_free_at =
        std::max(at, this->link_free_at) + base::from_seconds(seconds * this->slowdown);
    job.due = this->link_free_at;
}

auto engine_model::finish_import(job_number number, bool still_kept, base::time_point now) -> void {
    auto const job = this->decodes.find(number);
    if (job == this->decodes.end() || job->second.at != stage::confirming) {
        return;
    }
    if (still_kept) {
        this->start_running(job->second, now);
        return;
    }
    ++this->counts.imports_failed;
    this->notices.emplace_back(job_failed{number});
    this->end_decode(number, now);
}

auto engine_model::step_time() const -> base::duration {
    auto const interval =
        this->settings.base_interval + this->settings.interval_per_running * this->running;
    return base::from_seconds(base::to_seconds(interval) * this->slowdown);
}

auto engine_model::start_running(decode_job& job, base::time_point at) -> void {
    job.at = stage::running;
    job.due.reset();
    ++this->running;
    this->prefixes.store(job.request.prefixes, at);
    if (!this->step_due) {
        this->step_due = at + this->step_time();
    }
}

auto engine_model::advance_stage(job_number number, decode_job& job, base::time_point at) -> void {
    job.due.reset();
    if (job.at == stage::transferring) {
        job.at = stage::confirming;
        this->notices.emplace_back(transfer_finished{number});
        return;
    }
    this->start_running(job, at);
}

auto engine_model::produce_tokens(base::time_point at) -> void {
    auto finished = std::vector<job_number>{};
    for (auto& [number, job] : this->decodes) {
        if (job.at != stage::running) {
            continue;
        }
        auto const offset = job.next_offset++;
        auto const last = job.next_offset >= job.request.end;
        this->counts.produced += base::token_count{1};
        this->notices.emplace_back(token_produced{number, offset, last});
        if (last) {
            finished.push_back(number);
        }
    }
    for (auto const number : finished) {
        this->end_decode(number, at);
    }
    this->step_due.reset();
    if (this->running > 0) {
        this->step_due = at + this->step_time();
    }
}

auto engine_model::end_decode(job_number number, base::time_point now) -> void {
    auto const found = this->decodes.find(number);
    if (found == this->decodes.end()) {
        return;
    }
    auto const& job = found->second;
    if (job.at == stage::waiting) {
        this->decode_queue.erase(queue_key{job.request.priority, number});
    } else {
        this->pieces_used -= job.pieces;
        --this->slots_used;
    }
    if (job.at == stage::running) {
        --this->running;
    }
    this->decodes.erase(found);
    this->admit_waiting(now);
}

// ---- Cancellation ----

auto engine_model::cancel(job_number job, base::time_point now) -> void {
    this->cancel_prefill(job, now);
    this->end_decode(job, now);
    this->record_load(now);
}

auto engine_model::abort(std::string const& request_id, base::time_point now) -> abort_result {
    auto ended = abort_result{};
    for (auto const& [number, request] : this->prefills) {
        if (request.request_id == request_id) {
            ended.jobs.push_back(number);
        }
    }
    for (auto const& [number, job] : this->decodes) {
        if (job.request.request_id == request_id) {
            ended.jobs.push_back(number);
            ended.pieces += job.at == stage::waiting ? base::piece_count{} : job.pieces;
        }
    }
    for (auto const job : ended.jobs) {
        this->cancel(job, now);
    }
    ended.results = static_cast<std::int64_t>(std::erase_if(this->kept, [&](auto const& item) {
        auto const matches = item.second.request_id == request_id;
        this->counts.cancelled += matches ? item.second.computed : base::token_count{};
        return matches;
    }));
    this->record_load(now);
    return ended;
}

auto engine_model::drop_all(base::time_point now) -> void {
    this->prefill_queue.clear();
    this->decode_queue.clear();
    if (this->prefilling) {
        this->cancel_prefill(this->prefilling->job, now);
    }
    this->prefills.clear();
    for (auto const& [job, result] : this->kept) {
        this->counts.cancelled += result.computed;
    }
    this->kept.clear();
    this->decodes.clear();
    this->pieces_used = {};
    this->slots_used = 0;
    this->running = 0;
    this->step_due.reset();
    this->notices.clear();
    this->record_load(now);
}

// ---- Time ----

auto engine_model::next_due() const -> std::optional<base::time_point> {
    auto due = this->step_due;
    if (this->prefilling) {
        due = earliest(due, this->prefilling->done_at);
    }
    for (auto const& [job, result] : this->kept) {
        due = earliest(due, result.kept_until);
    }
    for (auto const& [number, job] : this->decodes) {
        due = earliest(due, job.due);
    }
    return due;
}

auto engine_model::run_due(base::time_point at) -> void {
    if (this->prefilling && this->prefilling->done_at <= at) {
        this->finish_prefill(at);
    }
    this->expire_results(at);
    for (auto& [number, job] : this->decodes) {
        if (job.due && *job.due <= at) {
            this->advance_stage(number, job, at);
        }
    }
    if (this->step_due && *this->step_due <= at) {
        this->produce_tokens(at);
    }
    this->record_load(at);
}

auto engine_model::advance(base::time_point now) -> std::vector<engine_notice> {
    for (auto due = this->next_due(); due && *due <= now; due = this->next_due()) {
        this->run_due(*due);
    }
    return std::exchange(this->notices, {});
}

// ---- Orders and reports ----

auto engine_model::execute_order(engine_order const& wanted, base::time_point now)
    -> order_outcome {
    auto& current = this->current_state;
    if (this->settings.checks_fencing && wanted.fencing < current.fencing) {
        return order_outcome::old_fencing;
    }
    if (wanted.kind == "load_model") {
        current.model = wanted.argument;
        current.version = wanted.version;
        current.adapters.clear();
        current.loading_until = now + this->settings.model_load;
    } else if (wanted.kind == "load_adapter") {
        current.adapters.insert(wanted.argument);
    } else if (wanted.kind == "unload_adapter") {
        current.adapters.erase(wanted.argument);
    } else if (wanted.kind == "set_role") {
        current.role = wanted.argument == "prefill" ? engine_role::prefill : engine_role::decode;
    } else {
        return order_outcome::unknown_order;
    }
    current.fencing = wanted.fencing;
    ++current.orders_done;
    return order_outcome::done;
}

auto engine_model::actual_load() const -> engine_load {
    auto load = engine_load{};
    load.pieces_used = this->pieces_used;
    load.running = this->slots_used + (this->prefilling ? 1 : 0);
    load.waiting = std::ssize(this->decode_queue) + std::ssize(this->prefill_queue);
    for (auto const& [job, result] : this->kept) {
        load.pieces_used += base::pieces_for(result.prompt, this->settings.piece_size);
    }
    for (auto const& queued : this->prefill_queue) {
        load.waiting_tokens += this->prefills.at(queued.job).prompt;
    }
    load.leaving = this->current_state.leaving;
    return load;
}

auto engine_model::record_load(base::time_point now) -> void {
    auto const load = this->actual_load();
    if (load != this->loads.back().load) {
        this->loads.push_back(load_sample{now, load});
    }
    (void)this->reported_load(now);
}

auto engine_model::reported_load(base::time_point now) -> engine_load {
    while (this->loads.size() > 1 && this->loads[1].at + this->settings.load_lag <= now) {
        this->loads.pop_front();
    }
    return this->loads.front().load;
}

auto engine_model::held() const -> std::map<std::string, base::piece_count> {
    auto holders = std::map<std::string, base::piece_count>{};
    for (auto const& [number, job] : this->decodes) {
        if (job.at != stage::waiting) {
            holders[job.request.request_id] += job.pieces;
        }
    }
    return holders;
}

auto engine_model::kept_tokens() const -> base::token_count {
    auto total = base::token_count{};
    for (auto const& [job, result] : this->kept) {
        total += result.computed;
    }
    return total;
}

auto engine_model::stats() const -> engine_stats const& {
    return this->counts;
}

auto engine_model::state() const -> engine_state const& {
    return this->current_state;
}

auto engine_model::cache() const -> prefix_cache const& {
    return this->prefixes;
}

auto engine_model::set_leaving(bool leaving, base::time_point now) -> void {
    this->current_state.leaving = leaving;
    this->record_load(now);
}

auto engine_model::set_slowdown(double factor) -> void {
    this->slowdown = factor;
}

auto engine_model::set_transfer_stall(bool stalled, base::time_point now) -> void {
    this->transfers_stalled = stalled;
    for (auto& [number, job] : this->decodes) {
        if (job.at != stage::transferring) {
            continue;
        }
        job.due.reset();
        if (!stalled) {
            this->begin_transfer(job, now);
        }
    }
}

}  // namespace linnetlane::standin
