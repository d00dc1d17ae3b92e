// Compares the placement policies by a deterministic discrete-event simulation of a small cell.
//
// Prints a line `policy shape load goodput wasted ttft_p95_s itl_p95_s` for each policy, workload
// shape and load, followed by the goodput by tokens, the refused fraction in each quartile of
// prompt length, the utilization of engines and the numbers of bookings made, moved and failed.
// Goodput is relative to the capacity of the scarcer of prefill and decode. A load of `1.2k` is 1.2
// with one decode engine killed halfway through. Engines are modelled as queues with a rate, and
// messages take one millisecond. The figures compare policies and don't predict the daemons'
// performance.
//
//   policy_experiment [shape [policy]]

#include <algorithm>
#include <array>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <numeric>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {
namespace {

constexpr double message_seconds = 0.001;
constexpr double renewal_interval_seconds = 0.5;
constexpr double report_interval_seconds = 0.2;
constexpr double report_lag_seconds = 0.2;
// Runs per line, whose results are averaged.
constexpr std::uint64_t seed_count = 3;
constexpr double run_seconds = 200;
constexpr double first_counted_second = 20;
constexpr double last_counted_second = 180;
// Whether holders report a change of phase at once or with the next renewal.
constexpr bool reports_phase_immediately = false;
constexpr double prefill_noise = 0.05;
constexpr double failure_detection_seconds = 0.2;

// One kind of request of a workload.
struct request_kind {
    double fraction = 1;
    double min_prompt = 0;
    double max_prompt = 0;
    double min_output = 0;
    double max_output = 0;
    base::priority_class priority = base::priority_class::interactive;
};

struct workload {
    std::string name;
    std::size_t prefills = 9;
    std::size_t decodes = 10;
    std::vector<request_kind> kinds;
};

auto workloads() -> std::vector<workload> {
    auto const interactive = base::priority_class::interactive;
    auto const batch = base::priority_class::batch;
    auto const pack = request_kind{1, 2000, 30000, 100, 300, interactive};
    auto const lookup = request_kind{0.8, 200, 2000, 20, 100, interactive};
    auto const extract = request_kind{0.2, 10000, 40000, 200, 500, batch};
    return {{"bluegum", 9, 11, {pack}},
            {"bluegum-decode", 9, 6, {pack}},
            {"lanka", 6, 8, {lookup, extract}},
            {"lanka-decode", 6, 4, {lookup, extract}}};
}

auto model_settings() -> configure {
    auto made = configure{};
    made.shape.prefill_rate = base::token_rate{25000};
    made.shape.link_rate = base::byte_count{20'000'000'000};
    made.shape.decode_rate = base::token_rate{33};
    made.targets.batch_first_token = std::chrono::seconds{30};
    return made;
}

auto interval_seconds(double running) -> double {
    return 0.015 + 0.015 * running / 20;
}

// A request and the progress of its current attempt.
struct request_run {
    double arrived = 0;
    double prompt = 0;
    double output = 0;
    base::priority_class priority = base::priority_class::interactive;
    std::uint64_t attempt = 1;
    double first_token = -1;
    double decode_began = 0;
    double produced_before = 0;
    double interval = 0;
    bool done = false;
    bool refused = false;
    // State of the current attempt.
    std::size_t prefill = 0;
    std::size_t decode = 0;
    bool ready = false;
    bool prefilled = false;
    bool transferring = false;
    bool decoding = false;
    bool holds = false;
    double prefill_sent = 0;
    double prefill_took = 0;
    double transfer_took = 0;
    double kept_until = 0;
    double virtual_end = 0;
};

struct prefill_model {
    double idle_at = 0;
    std::int64_t queued = 0;
};

struct decode_model {
    double link_idle_at = 0;
    double progress = 0;
    double as_of = 0;
    std::uint64_t version = 0;
    bool alive = true;
    std::map<std::pair<double, std::size_t>, std::size_t> ends;
};

// Sums of sampled utilization, as fractions of all engines.
struct engine_utilization {
    double held = 0;
    double decoding = 0;
    double prefill = 0;
    double samples = 0;
};

struct outcome {
    engine_utilization utilization;
    double goodput = 0;
    double token_goodput = 0;
    double wasted = 0;
    double ttft_p95 = 0;
    double itl_p95 = 0;
    std::array<double, 4> refused{};
    std::uint64_t booked = 0;
    std::uint64_t moved = 0;
    std::uint64_t failed = 0;

    // Adds the result of one of `seed_count` runs to the mean.
    auto operator+=(outcome const& other) -> outcome& {
        auto const fraction = 1.0 / static_cast<double>(seed_count);
        this->goodput += other.goodput * fraction;
        this->token_goodput += other.token_goodput * fraction;
        this->wasted += other.wasted * fraction;
        this->ttft_p95 += other.ttft_p95 * fraction;
        this->itl_p95 += other.itl_p95 * fraction;
        for (auto quarter = std::size_t{0}; quarter < this->refused.size(); ++quarter) {
            this->refused[quarter] += other.refused[quarter] * fraction;
        }
        this->utilization.prefill += other.utilization.prefill;
        this->utilization.held += other.utilization.held;
        this->utilization.decoding += other.utilization.decoding;
        this->utilization.samples += other.utilization.samples;
        this->booked += other.booked;
        this->moved += other.moved;
        this->failed += other.failed;
        return *this;
    }
};

class experiment {
public:
    experiment(workload const& what, std::string const& policy, double load, bool kill,
               std::uint64_t seed)
        : work(what),
          settings(model_settings()),
          cell(scheduler_options{*parse_placement_policy(policy), {}}) {
        this->random.seed(seed);
        this->add_engines();
        this->cell.handle(this->settings, this->at(0));
        this->capacity = this->request_capacity();
        this->plan_arrivals(load);
        this->schedule(0, [this] { this->renew_all(); });
        this->schedule(0, [this] { this->report_all(); });
        this->schedule(first_counted_second, [this] { this->sample_utilization(); });
        if (kill) {
            this->schedule(run_seconds / 2, [this] { this->kill(0); });
        }
    }

    auto run() -> outcome {
        while (!this->events.empty() && this->events.top().at < run_seconds + 60) {
            auto const next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.what();
        }
        return this->summarize();
    }

private:
    struct scheduled_event {
        double at;
        std::uint64_t order;
        std::function<void()> what;
        friend auto operator<(scheduled_event const& left, scheduled_event const& right) -> bool {
            return std::pair{left.at, left.order} > std::pair{right.at, right.order};
        }
    };

    static auto at(double seconds) -> base::time_point {
        return base::time_point{} + std::chrono::hours{1} + base::from_seconds(seconds);
    }
    static auto seconds(base::time_point at) -> double {
        return base::to_seconds(at - experiment::at(0));
    }
    auto schedule(double delay, std::function<void()> what) -> void {
        this->events.push({this->now + std::max(0.0, delay), this->order++, std::move(what)});
    }

    auto add_engines() -> void {
        auto const add = [this](std::string const& name, service::upstream_role role) {
            auto& made = this->settings.upstreams.emplace_back();
            made.id = base::upstream_id{name};
            made.role = role;
        };
        for (auto one = std::size_t{0}; one < this->work.prefills; ++one) {
            add("p" + std::to_string(one), service::upstream_role::prefill);
        }
        for (auto one = std::size_t{0}; one < this->work.decodes; ++one) {
            add("d" + std::to_string(one), service::upstream_role::decode);
        }
        this->prefills.resize(this->work.prefills);
        this->decodes.resize(this->work.decodes);
    }

    auto draw(request_kind const& kind) -> request_run {
        auto const between = [this](double least, double most) {
            return std::uniform_real_distribution{least, most}(this->random);
        };
        auto made = request_run{};
        made.prompt = std::floor(between(kind.min_prompt, kind.max_prompt));
        made.output = std::floor(between(kind.min_output, kind.max_output));
        made.priority = kind.priority;
        return made;
    }

    auto draw_kind() -> request_kind const& {
        auto fraction = std::uniform_real_distribution{0.0, 1.0}(this->random);
        for (auto const& kind : this->work.kinds) {
            fraction -= kind.fraction;
            if (fraction <= 0) {
                return kind;
            }
        }
        return this->work.kinds.back();
    }

    auto prefill_seconds(double prompt) const -> double {
        return 0.004 + prompt / this->settings.shape.prefill_rate.per_second;
    }
    auto transfer_seconds(double prompt) const -> double {
        return prompt * static_cast<double>(this->settings.shape.kv_bytes_per_token.value) /
               static_cast<double>(this->settings.shape.link_rate.value);
    }
    auto output_bound_of(request_run const& one) const -> double {
        for (auto const& kind : this->work.kinds) {
            if (kind.priority == one.priority) {
                return kind.max_output;
            }
        }
        return one.output;
    }
    auto pieces(request_run const& one) const -> double {
        return std::ceil((one.prompt + this->output_bound_of(one)) / 2000);
    }

    // Requests per second that the scarcer of prefill and decode can serve.
    auto request_capacity() -> double {
        constexpr auto samples = 20000;
        auto prefill = 0.0;
        auto piece_tokens = 0.0;
        auto slot_tokens = 0.0;
        for (auto one = 0; one < samples; ++one) {
            auto const sample = this->draw(this->draw_kind());
            prefill += this->prefill_seconds(sample.prompt) / samples;
            piece_tokens += this->pieces(sample) * sample.output / samples;
            slot_tokens += sample.output / samples;
        }
        auto const engines = static_cast<double>(this->work.decodes);
        auto const running = std::min(20.0, 60 * slot_tokens / piece_tokens);
        auto const decode = engines * running / (slot_tokens * interval_seconds(running));
        return std::min(static_cast<double>(this->work.prefills) / prefill, decode);
    }

    auto plan_arrivals(double load) -> void {
        auto gap = std::exponential_distribution{load * this->capacity};
        for (auto when = gap(this->random); when < run_seconds; when += gap(this->random)) {
            auto made = this->draw(this->draw_kind());
            made.arrived = when;
            this->requests.push_back(made);
            auto const index = this->requests.size() - 1;
            this->events.push(
                {when, this->order++, [this, index] { this->send_acquire(index, false); }});
        }
    }

    auto key(std::size_t index) const -> attempt {
        return attempt{base::request_id{1, index},
                       base::attempt_number{this->requests[index].attempt}};
    }

    auto send_acquire(std::size_t index, bool retained) -> void {
        auto& one = this->requests[index];
        auto message = acquire{};
        message.attempt = this->key(index);
        message.holder = this->self;
        message.caller = base::caller_id{"caller" + std::to_string(index % 5)};
        message.priority = one.priority;
        message.prompt =
            base::token_count{static_cast<std::int64_t>(one.prompt + one.produced_before)};
        message.output_bound = base::token_count{
            static_cast<std::int64_t>(this->output_bound_of(one) - one.produced_before)};
        auto const urgent = one.priority == base::priority_class::interactive;
        auto const target = base::to_seconds(urgent ? this->settings.targets.first_token
                                                    : this->settings.targets.batch_first_token);
        auto const from = one.first_token >= 0 ? this->now : one.arrived;
        message.first_token_deadline = at(from + target);
        for (auto engine = std::size_t{0}; engine < this->decodes.size(); ++engine) {
            if (!this->decodes[engine].alive) {
                message.avoid.push_back(base::upstream_id{"d" + std::to_string(engine)});
            }
        }
        if (retained) {
            message.kept_by = base::upstream_id{"p" + std::to_string(one.prefill)};
            message.kept_until = at(one.kept_until);
        }
        this->send_event(message);
    }

    auto send_event(event const& what) -> void {
        this->schedule(message_seconds, [this, what] { this->handle_event(what); });
    }

    auto handle_event(event const& what) -> void {
        for (auto const& command : this->cell.handle(what, at(this->now))) {
            this->schedule(message_seconds, [this, command] { this->apply(command); });
        }
        auto const due = this->cell.next_deadline();
        if (due && (this->tick_at <= this->now || seconds(*due) < this->tick_at)) {
            this->tick_at = std::max(seconds(*due), this->now + 1e-4);
            this->schedule(this->tick_at - this->now, [this, mine = this->tick_at] {
                if (mine == this->tick_at) {
                    this->handle_event(tick{});
                }
            });
        }
    }

    auto apply(command const& what) -> void {
        std::visit(base::overloaded{[this](grant const& one) { this->handle_grant(one); },
                                    [this](decode_ready const& one) { this->handle_ready(one); },
                                    [this](refuse const& one) { this->handle_refusal(one); },
                                    [this](abort const& one) { this->handle_abort(one); }},
                   what);
    }

    auto live_attempt(attempt const& key) -> request_run* {
        auto& one = this->requests[key.request.low];
        return one.attempt == key.number.value ? &one : nullptr;
    }

    static auto index_of(base::upstream_id const& id) -> std::size_t {
        return std::stoul(id.value.substr(1));
    }

    auto handle_grant(grant const& what) -> void {
        auto* one = this->live_attempt(what.attempt);
        auto const index = what.attempt.request.low;
        one->holds = true;
        one->ready = what.ready;
        one->decode = index_of(what.decode);
        if (!what.prefill) {
            one->prefilled = true;
            this->transfer(index);
            return;
        }
        one->prefill = index_of(*what.prefill);
        one->prefilled = false;
        this->schedule(seconds(what.prefill_start) - this->now,
                       [this, index] { this->send(index); });
    }

    auto send(std::size_t index) -> void {
        auto& one = this->requests[index];
        auto& engine = this->prefills[one.prefill];
        auto noise = std::uniform_real_distribution{1 - prefill_noise, 1 + prefill_noise};
        auto const begin = std::max(this->now, engine.idle_at);
        auto const prompt = one.prompt + one.produced_before;
        engine.idle_at = begin + this->prefill_seconds(prompt) * noise(this->random);
        engine.queued += 1;
        one.prefill_sent = this->now;
        this->prefilled_tokens += prompt;
        auto const mine = one.attempt;
        this->schedule(engine.idle_at - this->now, [this, index, mine] {
            auto& run = this->requests[index];
            this->prefills[run.prefill].queued -= 1;
            if (run.attempt != mine) {
                this->wasted_tokens += run.prompt + run.produced_before;
                return;
            }
            run.prefilled = true;
            run.prefill_took = this->now - run.prefill_sent;
            run.kept_until = this->now + base::to_seconds(this->settings.shape.result_kept);
            this->report_phase(index, phase::transferring);
            this->transfer(index);
            this->schedule(run.kept_until - this->now, [this, index, mine] {
                auto const& late = this->requests[index];
                if (late.attempt == mine && !late.transferring) {
                    this->abandon(index, ending::expired, true);
                }
            });
        });
    }

    auto transfer(std::size_t index) -> void {
        auto& one = this->requests[index];
        auto& engine = this->decodes[one.decode];
        if (!one.prefilled || !one.ready || one.transferring) {
            return;
        }
        if (!engine.alive) {
            this->handle_decode_loss(index);
            return;
        }
        one.transferring = true;
        auto const begin = std::max(this->now, engine.link_idle_at);
        auto const length = this->transfer_seconds(one.prompt + one.produced_before);
        engine.link_idle_at = begin + length;
        one.transfer_took = engine.link_idle_at - this->now;
        auto const mine = one.attempt;
        this->schedule(one.transfer_took, [this, index, mine] {
            if (this->requests[index].attempt == mine) {
                this->begin_decode(index);
            }
        });
    }

    auto advance(decode_model& engine) -> void {
        auto const running = static_cast<double>(engine.ends.size());
        engine.progress += (this->now - engine.as_of) / interval_seconds(running);
        engine.as_of = this->now;
    }

    auto begin_decode(std::size_t index) -> void {
        auto& one = this->requests[index];
        auto& engine = this->decodes[one.decode];
        this->advance(engine);
        one.decoding = true;
        one.decode_began = this->now;
        if (one.first_token < 0) {
            auto const running = static_cast<double>(engine.ends.size()) + 1;
            one.first_token = this->now + interval_seconds(running) - one.arrived;
        }
        one.virtual_end = engine.progress + one.output - one.produced_before;
        engine.ends.emplace(std::pair{one.virtual_end, index}, index);
        this->report_phase(index, phase::decoding);
        this->schedule_completion(one.decode);
    }

    auto schedule_completion(std::size_t place) -> void {
        auto& engine = this->decodes[place];
        engine.version += 1;
        if (engine.ends.empty()) {
            return;
        }
        auto const running = static_cast<double>(engine.ends.size());
        auto const left = engine.ends.begin()->first.first - engine.progress;
        auto const mine = engine.version;
        this->schedule(left * interval_seconds(running), [this, place, mine] {
            auto& ending_engine = this->decodes[place];
            if (ending_engine.version != mine) {
                return;
            }
            this->advance(ending_engine);
            auto const index = ending_engine.ends.begin()->second;
            ending_engine.ends.erase(ending_engine.ends.begin());
            this->complete(index);
            this->schedule_completion(place);
        });
    }

    auto complete(std::size_t index) -> void {
        auto& one = this->requests[index];
        auto const took = this->now - one.decode_began;
        one.done = true;
        one.interval = took / (one.output - one.produced_before);
        this->send_release(index, ending::completed, true);
    }

    auto send_release(std::size_t index, ending how, bool clear) -> void {
        auto& one = this->requests[index];
        auto what = release{};
        what.attempt = this->key(index);
        what.holder = this->self;
        what.ending = how;
        what.engines_clear = clear;
        auto& seen = what.observation;
        if (one.prefilled && one.prefill_took > 0) {
            seen.prefill_took = base::from_seconds(one.prefill_took);
            seen.prefilled =
                base::token_count{static_cast<std::int64_t>(one.prompt + one.produced_before)};
        }
        if (one.decoding) {
            seen.transfer_took = base::from_seconds(one.transfer_took);
            seen.decode_took = base::from_seconds(this->now - one.decode_began);
            seen.produced =
                base::token_count{static_cast<std::int64_t>(one.output - one.produced_before)};
        }
        this->send_event(what);
        one.holds = false;
        one.attempt += 1;
        one.ready = false;
        one.transferring = false;
        one.decoding = false;
    }

    auto abandon(std::size_t index, ending how, bool clear) -> void {
        auto& one = this->requests[index];
        this->wasted_tokens += one.prompt + one.produced_before;
        one.refused = true;
        this->send_release(index, how, clear);
    }

    auto handle_ready(decode_ready const& what) -> void {
        auto* one = this->live_attempt(what.attempt);
        if (one == nullptr) {
            return;
        }
        one->ready = true;
        one->decode = index_of(what.decode);
        this->transfer(what.attempt.request.low);
    }

    auto handle_refusal(refuse const& what) -> void {
        auto* one = this->live_attempt(what.attempt);
        if (one == nullptr) {
            return;
        }
        if (one->prefilled) {
            this->wasted_tokens += one->prompt + one->produced_before;
        }
        one->refused = true;
        one->holds = false;
        one->attempt += 1;
    }

    auto handle_abort(abort const& what) -> void {
        auto const dead =
            what.upstream.value[0] == 'd' && !this->decodes[index_of(what.upstream)].alive;
        if (!dead) {
            this->send_event(aborted{what.upstream, what.attempt});
        }
    }

    auto report_phase(std::size_t index, phase where) -> void {
        if constexpr (reports_phase_immediately) {
            this->send_event(renew{this->self, {{this->key(index), where, base::token_count{0}}}});
        }
    }

    auto renew_all() -> void {
        auto message = renew{this->self, {}};
        for (auto index = std::size_t{0}; index < this->requests.size(); ++index) {
            auto const& one = this->requests[index];
            if (!one.holds) {
                continue;
            }
            auto made = renewal{this->key(index), phase::granted, base::token_count{0}};
            if (one.decoding) {
                auto& engine = this->decodes[one.decode];
                this->advance(engine);
                auto const left = one.virtual_end - engine.progress;
                made.produced = base::token_count{
                    static_cast<std::int64_t>(one.output - one.produced_before - left)};
                made.phase = phase::decoding;
            } else if (one.prefilled) {
                made.phase = phase::transferring;
            } else {
                made.phase = phase::prefilling;
            }
            message.renewals.push_back(made);
        }
        this->send_event(message);
        this->schedule(renewal_interval_seconds, [this] { this->renew_all(); });
    }

    auto report_all() -> void {
        auto const send = [this](upstream_report const& message) {
            this->schedule(report_lag_seconds, [this, message] { this->handle_event(message); });
        };
        for (auto place = std::size_t{0}; place < this->prefills.size(); ++place) {
            auto message = upstream_report{};
            message.upstream = base::upstream_id{"p" + std::to_string(place)};
            message.waiting = this->prefills[place].queued;
            send(message);
        }
        for (auto place = std::size_t{0}; place < this->decodes.size(); ++place) {
            auto message = upstream_report{};
            message.upstream = base::upstream_id{"d" + std::to_string(place)};
            message.running = static_cast<std::int64_t>(this->decodes[place].ends.size());
            if (this->decodes[place].alive) {
                send(message);
            }
        }
        this->schedule(report_interval_seconds, [this] { this->report_all(); });
    }

    // Samples the fractions of decode memory that are held and that decode, and of busy prefill
    // engines.
    auto sample_utilization() -> void {
        auto const all = 60.0 * static_cast<double>(this->decodes.size());
        for (auto const& one : this->requests) {
            if (one.holds && one.ready) {
                this->utilization.held += this->pieces(one) / all;
                this->utilization.decoding += one.decoding ? this->pieces(one) / all : 0;
            }
        }
        for (auto const& engine : this->prefills) {
            this->utilization.prefill +=
                engine.idle_at > this->now ? 1.0 / static_cast<double>(this->prefills.size()) : 0;
        }
        this->utilization.samples += 1;
        if (this->now < last_counted_second) {
            this->schedule(0.1, [this] { this->sample_utilization(); });
        }
    }

    auto kill(std::size_t place) -> void {
        auto& engine = this->decodes[place];
        this->advance(engine);
        engine.alive = false;
        engine.version += 1;
        this->schedule(failure_detection_seconds, [this, place] {
            this->handle_event(
                upstream_reachable{base::upstream_id{"d" + std::to_string(place)}, false});
        });
        for (auto index = std::size_t{0}; index < this->requests.size(); ++index) {
            auto const& one = this->requests[index];
            if (one.holds && one.decode == place && one.transferring) {
                this->handle_decode_loss(index);
            }
        }
        engine.ends.clear();
    }

    auto handle_decode_loss(std::size_t index) -> void {
        auto& one = this->requests[index];
        auto const& engine = this->decodes[one.decode];
        if (one.decoding) {
            auto const left = one.virtual_end - engine.progress;
            auto const produced = std::max(0.0, one.output - left);
            this->send_release(index, ending::decode_failed, false);
            one.produced_before = std::floor(produced);
            one.prefilled = false;
            this->send_acquire(index, false);
            return;
        }
        this->send_release(index, ending::transfer_stalled, false);
        this->send_acquire(index, true);
    }

    auto counted_requests() -> std::vector<request_run> {
        auto retained = std::vector<request_run>{};
        for (auto const& one : this->requests) {
            if (one.arrived >= first_counted_second && one.arrived < last_counted_second) {
                retained.push_back(one);
            }
        }
        return retained;
    }

    auto is_good(request_run const& one) const -> bool {
        auto const urgent = one.priority == base::priority_class::interactive;
        auto const target =
            urgent ? this->settings.targets.first_token : this->settings.targets.batch_first_token;
        return one.done && one.first_token <= base::to_seconds(target) &&
               one.interval <= base::to_seconds(this->settings.targets.between_tokens);
    }

    static auto p95(std::vector<double> values) -> double {
        if (values.empty()) {
            return 0;
        }
        std::sort(values.begin(), values.end());
        return values[values.size() * 95 / 100];
    }

    auto summarize() -> outcome {
        auto found = outcome{};
        auto all = this->counted_requests();
        std::sort(all.begin(), all.end(), [](request_run const& left, request_run const& right) {
            return left.prompt < right.prompt;
        });
        auto first_tokens = std::vector<double>{};
        auto intervals = std::vector<double>{};
        auto tokens = 0.0;
        for (auto place = std::size_t{0}; place < all.size(); ++place) {
            auto const& one = all[place];
            tokens += one.prompt + one.output;
            found.refused[place * 4 / all.size()] +=
                one.done ? 0 : 4.0 / static_cast<double>(all.size());
            if (one.done) {
                intervals.push_back(one.interval);
                if (one.priority == base::priority_class::interactive) {
                    first_tokens.push_back(one.first_token);
                }
            }
            if (this->is_good(one)) {
                found.goodput += 1;
                found.token_goodput += one.prompt + one.output;
            }
        }
        auto const most = this->capacity * (last_counted_second - first_counted_second);
        auto const mean_tokens = tokens / static_cast<double>(all.size());
        found.goodput /= most;
        found.token_goodput /= most * mean_tokens;
        found.wasted = this->wasted_tokens / std::max(1.0, this->prefilled_tokens);
        found.ttft_p95 = p95(first_tokens);
        found.itl_p95 = p95(intervals);
        auto const view = this->cell.snapshot();
        found.booked = view.booked_ahead;
        found.moved = view.moved;
        found.failed = view.refusals[static_cast<std::size_t>(refusal::booking_failed)];
        found.utilization = this->utilization;
        return found;
    }

    workload work;
    configure settings;
    scheduler cell;
    holder self{base::host_id{"entry"}, base::incarnation{1}};
    std::mt19937_64 random;
    double capacity = 0;
    double now = 0;
    double tick_at = -1;
    std::uint64_t order = 0;
    std::priority_queue<scheduled_event> events;
    std::vector<request_run> requests;
    std::vector<prefill_model> prefills;
    std::vector<decode_model> decodes;
    engine_utilization utilization;
    double prefilled_tokens = 0;
    double wasted_tokens = 0;
};

auto print(workload const& work, std::string const& policy, std::string const& load,
           outcome const& found) -> void {
    auto refused = std::string{};
    for (auto const fraction : found.refused) {
        auto text = std::array<char, 16>{};
        std::snprintf(text.data(), text.size(), " %.3f", fraction);
        refused += text.data();
    }
    std::printf(
        "%s %s %s %.3f %.4f %.3f %.4f tokens=%.3f refused=%s use=%.2f/%.2f/%.2f booked=%llu "
        "moved=%llu failed=%llu\n",
        policy.c_str(), work.name.c_str(), load.c_str(), found.goodput, found.wasted,
        found.ttft_p95, found.itl_p95, found.token_goodput, refused.c_str(),
        found.utilization.prefill / found.utilization.samples,
        found.utilization.held / found.utilization.samples,
        found.utilization.decoding / found.utilization.samples,
        static_cast<unsigned long long>(found.booked), static_cast<unsigned long long>(found.moved),
        static_cast<unsigned long long>(found.failed));
    std::fflush(stdout);
}

}  // namespace
}  // namespace linnetlane::cell

auto main(int count, char** arguments) -> int {
    using namespace linnetlane::cell;
    auto const filters = std::vector<std::string>(arguments + 1, arguments + count);
    for (auto const& work : workloads()) {
        if (!filters.empty() && filters[0] != work.name && filters[0] != "all") {
            continue;
        }
        for (auto const* load : {"0.5", "0.8", "1.0", "1.2", "2.0", "1.2k"}) {
            auto const kill = std::string{load}.back() == 'k';
            for (auto const* policy : {"linnetlane", "round_robin", "least_load", "two_choices"}) {
                if (filters.size() > 1 && filters[1] != policy) {
                    continue;
                }
                auto mean = outcome{};
                for (auto seed = std::uint64_t{1}; seed <= seed_count; ++seed) {
                    auto trial = experiment{work, policy, std::stod(load), kill, seed};
                    mean += trial.run();
                }
                print(work, policy, load, mean);
            }
        }
    }
    return 0;
}
