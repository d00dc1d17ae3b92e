// Compares the scheduler's policies on one small modelled cell, in one deterministic run.
//
// Prints a line `policy shape load goodput wasted ttft_p95_s itl_p95_s` for each policy, shape and
// load, followed by goodput by tokens, and the refusal share of each quarter of prompt length.
// Goodput is a share of the capacity of the scarcer of prefill and decode; a load of `1.2k` has one
// decode engine killed at half time. An engine is a queue with a rate; messages take one
// millisecond. The figures are for choosing between rules, not a measurement of the daemons.
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
constexpr double renew_seconds = 0.5;
constexpr double report_seconds = 0.2;
constexpr double report_lag_seconds = 0.2;
// Runs that are averaged.
constexpr std::uint64_t seeds = 3;
constexpr double run_seconds = 200;
constexpr double first_counted_second = 20;
constexpr double last_counted_second = 180;
// Whether holders tell a change of phase at once or with the next renewal.
constexpr bool tells_phase_at_once = false;
constexpr double prefill_noise = 0.05;
constexpr double seconds_to_notice_death = 0.2;

// One kind of request of a workload.
struct request_kind {
    double part = 1;
    double least_prompt = 0;
    double most_prompt = 0;
    double least_output = 0;
    double most_output = 0;
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

// What a request is and how it went.
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
    // Of the live attempt.
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

// Mean use of engines, as a share of all.
struct engine_use {
    double held = 0;
    double decoding = 0;
    double prefill = 0;
    double samples = 0;
};

struct outcome {
    engine_use use;
    double goodput = 0;
    double token_goodput = 0;
    double wasted = 0;
    double ttft_p95 = 0;
    double itl_p95 = 0;
    std::array<double, 4> refused{};
    std::uint64_t booked = 0;
    std::uint64_t moved = 0;
    std::uint64_t failed = 0;

    // Adds one of `seeds` runs to the mean.
    auto operator+=(outcome const& other) -> outcome& {
        auto const part = 1.0 / static_cast<double>(seeds);
        this->goodput += other.goodput * part;
        this->token_goodput += other.token_goodput * part;
        this->wasted += other.wasted * part;
        this->ttft_p95 += other.ttft_p95 * part;
        this->itl_p95 += other.itl_p95 * part;
        for (auto quarter = std::size_t{0}; quarter < this->refused.size(); ++quarter) {
            this->refused[quarter] += other.refused[quarter] * part;
        }
        this->use.prefill += other.use.prefill;
        this->use.held += other.use.held;
        this->use.decoding += other.use.decoding;
        this->use.samples += other.use.samples;
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
        this->name_engines();
        this->cell.handle(this->settings, this->at(0));
        this->capacity = this->request_capacity();
        this->plan_arrivals(load);
        this->later(0, [this] { this->renew_all(); });
        this->later(0, [this] { this->report_all(); });
        this->later(first_counted_second, [this] { this->sample_use(); });
        if (kill) {
            this->later(run_seconds / 2, [this] { this->kill(0); });
        }
    }

    auto run() -> outcome {
        while (!this->events.empty() && this->events.top().at < run_seconds + 60) {
            auto const next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.what();
        }
        return this->sum_up();
    }

private:
    struct planned {
        double at;
        std::uint64_t order;
        std::function<void()> what;
        friend auto operator<(planned const& left, planned const& right) -> bool {
            return std::pair{left.at, left.order} > std::pair{right.at, right.order};
        }
    };

    static auto at(double seconds) -> base::time_point {
        return base::time_point{} + std::chrono::hours{1} + base::from_seconds(seconds);
    }
    static auto seconds(base::time_point at) -> double {
        return base::to_seconds(at - experiment::at(0));
    }
    auto later(double delay, std::function<void()> what) -> void {
        this->events.push({this->now + std::max(0.0, delay), this->order++, std::move(what)});
    }

    auto name_engines() -> void {
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
        made.prompt = std::floor(between(kind.least_prompt, kind.most_prompt));
        made.output = std::floor(between(kind.least_output, kind.most_output));
        made.priority = kind.priority;
        return made;
    }

    auto any_kind() -> request_kind const& {
        auto part = std::uniform_real_distribution{0.0, 1.0}(this->random);
        for (auto const& kind : this->work.kinds) {
            part -= kind.part;
            if (part <= 0) {
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
    auto bound_of(request_run const& one) const -> double {
        for (auto const& kind : this->work.kinds) {
            if (kind.priority == one.priority) {
                return kind.most_output;
            }
        }
        return one.output;
    }
    auto pieces(request_run const& one) const -> double {
        return std::ceil((one.prompt + this->bound_of(one)) / 2000);
    }

    // Requests a second that the scarcer of prefill and decode can carry.
    auto request_capacity() -> double {
        constexpr auto samples = 20000;
        auto prefill = 0.0;
        auto piece_tokens = 0.0;
        auto slot_tokens = 0.0;
        for (auto one = 0; one < samples; ++one) {
            auto const sample = this->draw(this->any_kind());
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
            auto made = this->draw(this->any_kind());
            made.arrived = when;
            this->requests.push_back(made);
            auto const index = this->requests.size() - 1;
            this->events.push({when, this->order++, [this, index] { this->ask(index, false); }});
        }
    }

    auto key(std::size_t index) const -> attempt {
        return attempt{base::request_id{1, index},
                       base::attempt_number{this->requests[index].attempt}};
    }

    auto ask(std::size_t index, bool kept) -> void {
        auto& one = this->requests[index];
        auto question = acquire{};
        question.attempt = this->key(index);
        question.holder = this->self;
        question.caller = base::caller_id{"caller" + std::to_string(index % 5)};
        question.priority = one.priority;
        question.prompt =
            base::token_count{static_cast<std::int64_t>(one.prompt + one.produced_before)};
        question.output_bound =
            base::token_count{static_cast<std::int64_t>(this->bound_of(one) - one.produced_before)};
        auto const urgent = one.priority == base::priority_class::interactive;
        auto const target = base::to_seconds(urgent ? this->settings.targets.first_token
                                                    : this->settings.targets.batch_first_token);
        auto const from = one.first_token >= 0 ? this->now : one.arrived;
        question.first_token_deadline = at(from + target);
        for (auto engine = std::size_t{0}; engine < this->decodes.size(); ++engine) {
            if (!this->decodes[engine].alive) {
                question.avoid.push_back(base::upstream_id{"d" + std::to_string(engine)});
            }
        }
        if (kept) {
            question.kept_by = base::upstream_id{"p" + std::to_string(one.prefill)};
            question.kept_until = at(one.kept_until);
        }
        this->tell(question);
    }

    auto tell(event const& what) -> void {
        this->later(message_seconds, [this, what] { this->decide(what); });
    }

    auto decide(event const& what) -> void {
        for (auto const& command : this->cell.handle(what, at(this->now))) {
            this->later(message_seconds, [this, command] { this->obey(command); });
        }
        auto const due = this->cell.next_deadline();
        if (due && (this->tick_at <= this->now || seconds(*due) < this->tick_at)) {
            this->tick_at = std::max(seconds(*due), this->now + 1e-4);
            this->later(this->tick_at - this->now, [this, mine = this->tick_at] {
                if (mine == this->tick_at) {
                    this->decide(tick{});
                }
            });
        }
    }

    auto obey(command const& what) -> void {
        std::visit(base::overloaded{[this](grant const& one) { this->granted(one); },
                                    [this](decode_ready const& one) { this->readied(one); },
                                    [this](refuse const& one) { this->refused(one); },
                                    [this](abort const& one) { this->ended_engine(one); }},
                   what);
    }

    auto live(attempt const& key) -> request_run* {
        auto& one = this->requests[key.request.low];
        return one.attempt == key.number.value ? &one : nullptr;
    }

    static auto number(base::upstream_id const& id) -> std::size_t {
        return std::stoul(id.value.substr(1));
    }

    auto granted(grant const& what) -> void {
        auto* one = this->live(what.attempt);
        auto const index = what.attempt.request.low;
        one->holds = true;
        one->ready = what.ready;
        one->decode = number(what.decode);
        if (!what.prefill) {
            one->prefilled = true;
            this->transfer(index);
            return;
        }
        one->prefill = number(*what.prefill);
        one->prefilled = false;
        this->later(seconds(what.prefill_start) - this->now, [this, index] { this->send(index); });
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
        this->later(engine.idle_at - this->now, [this, index, mine] {
            auto& run = this->requests[index];
            this->prefills[run.prefill].queued -= 1;
            if (run.attempt != mine) {
                this->wasted_tokens += run.prompt + run.produced_before;
                return;
            }
            run.prefilled = true;
            run.prefill_took = this->now - run.prefill_sent;
            run.kept_until = this->now + base::to_seconds(this->settings.shape.result_kept);
            this->tell_phase(index, phase::transferring);
            this->transfer(index);
            this->later(run.kept_until - this->now, [this, index, mine] {
                auto const& late = this->requests[index];
                if (late.attempt == mine && !late.transferring) {
                    this->give_up(index, ending::expired, true);
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
            this->lost_decode(index);
            return;
        }
        one.transferring = true;
        auto const begin = std::max(this->now, engine.link_idle_at);
        auto const length = this->transfer_seconds(one.prompt + one.produced_before);
        engine.link_idle_at = begin + length;
        one.transfer_took = engine.link_idle_at - this->now;
        auto const mine = one.attempt;
        this->later(one.transfer_took, [this, index, mine] {
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
        this->tell_phase(index, phase::decoding);
        this->plan_end(one.decode);
    }

    auto plan_end(std::size_t place) -> void {
        auto& engine = this->decodes[place];
        engine.version += 1;
        if (engine.ends.empty()) {
            return;
        }
        auto const running = static_cast<double>(engine.ends.size());
        auto const left = engine.ends.begin()->first.first - engine.progress;
        auto const mine = engine.version;
        this->later(left * interval_seconds(running), [this, place, mine] {
            auto& ending_engine = this->decodes[place];
            if (ending_engine.version != mine) {
                return;
            }
            this->advance(ending_engine);
            auto const index = ending_engine.ends.begin()->second;
            ending_engine.ends.erase(ending_engine.ends.begin());
            this->complete(index);
            this->plan_end(place);
        });
    }

    auto complete(std::size_t index) -> void {
        auto& one = this->requests[index];
        auto const took = this->now - one.decode_began;
        one.done = true;
        one.interval = took / (one.output - one.produced_before);
        this->give_back(index, ending::completed, true);
    }

    auto give_back(std::size_t index, ending how, bool clear) -> void {
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
        this->tell(what);
        one.holds = false;
        one.attempt += 1;
        one.ready = false;
        one.transferring = false;
        one.decoding = false;
    }

    auto give_up(std::size_t index, ending how, bool clear) -> void {
        auto& one = this->requests[index];
        this->wasted_tokens += one.prompt + one.produced_before;
        one.refused = true;
        this->give_back(index, how, clear);
    }

    auto readied(decode_ready const& what) -> void {
        auto* one = this->live(what.attempt);
        if (one == nullptr) {
            return;
        }
        one->ready = true;
        one->decode = number(what.decode);
        this->transfer(what.attempt.request.low);
    }

    auto refused(refuse const& what) -> void {
        auto* one = this->live(what.attempt);
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

    auto ended_engine(abort const& what) -> void {
        auto const dead =
            what.upstream.value[0] == 'd' && !this->decodes[number(what.upstream)].alive;
        if (!dead) {
            this->tell(aborted{what.upstream, what.attempt});
        }
    }

    auto tell_phase(std::size_t index, phase where) -> void {
        if constexpr (tells_phase_at_once) {
            this->tell(renew{this->self, {{this->key(index), where, base::token_count{0}}}});
        }
    }

    auto renew_all() -> void {
        auto word = renew{this->self, {}};
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
            word.renewals.push_back(made);
        }
        this->tell(word);
        this->later(renew_seconds, [this] { this->renew_all(); });
    }

    auto report_all() -> void {
        auto const send = [this](upstream_report const& word) {
            this->later(report_lag_seconds, [this, word] { this->decide(word); });
        };
        for (auto place = std::size_t{0}; place < this->prefills.size(); ++place) {
            auto word = upstream_report{};
            word.upstream = base::upstream_id{"p" + std::to_string(place)};
            word.waiting = this->prefills[place].queued;
            send(word);
        }
        for (auto place = std::size_t{0}; place < this->decodes.size(); ++place) {
            auto word = upstream_report{};
            word.upstream = base::upstream_id{"d" + std::to_string(place)};
            word.running = static_cast<std::int64_t>(this->decodes[place].ends.size());
            if (this->decodes[place].alive) {
                send(word);
            }
        }
        this->later(report_seconds, [this] { this->report_all(); });
    }

    // How much of decode memory is held, and how much of that decodes.
    auto sample_use() -> void {
        auto const all = 60.0 * static_cast<double>(this->decodes.size());
        for (auto const& one : this->requests) {
            if (one.holds && one.ready) {
                this->use.held += this->pieces(one) / all;
                this->use.decoding += one.decoding ? this->pieces(one) / all : 0;
            }
        }
        for (auto const& engine : this->prefills) {
            this->use.prefill +=
                engine.idle_at > this->now ? 1.0 / static_cast<double>(this->prefills.size()) : 0;
        }
        this->use.samples += 1;
        if (this->now < last_counted_second) {
            this->later(0.1, [this] { this->sample_use(); });
        }
    }

    auto kill(std::size_t place) -> void {
        auto& engine = this->decodes[place];
        this->advance(engine);
        engine.alive = false;
        engine.version += 1;
        this->later(seconds_to_notice_death, [this, place] {
            this->decide(upstream_reachable{base::upstream_id{"d" + std::to_string(place)}, false});
        });
        for (auto index = std::size_t{0}; index < this->requests.size(); ++index) {
            auto const& one = this->requests[index];
            if (one.holds && one.decode == place && one.transferring) {
                this->lost_decode(index);
            }
        }
        engine.ends.clear();
    }

    auto lost_decode(std::size_t index) -> void {
        auto& one = this->requests[index];
        auto const& engine = this->decodes[one.decode];
        if (one.decoding) {
            auto const left = one.virtual_end - engine.progress;
            auto const produced = std::max(0.0, one.output - left);
            this->give_back(index, ending::decode_failed, false);
            one.produced_before = std::floor(produced);
            one.prefilled = false;
            this->ask(index, false);
            return;
        }
        this->give_back(index, ending::transfer_stalled, false);
        this->ask(index, true);
    }

    auto counted() -> std::vector<request_run> {
        auto kept = std::vector<request_run>{};
        for (auto const& one : this->requests) {
            if (one.arrived >= first_counted_second && one.arrived < last_counted_second) {
                kept.push_back(one);
            }
        }
        return kept;
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

    auto sum_up() -> outcome {
        auto found = outcome{};
        auto all = this->counted();
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
        found.use = this->use;
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
    std::priority_queue<planned> events;
    std::vector<request_run> requests;
    std::vector<prefill_model> prefills;
    std::vector<decode_model> decodes;
    engine_use use;
    double prefilled_tokens = 0;
    double wasted_tokens = 0;
};

auto print(workload const& work, std::string const& policy, std::string const& load,
           outcome const& found) -> void {
    auto refused = std::string{};
    for (auto const part : found.refused) {
        auto text = std::array<char, 16>{};
        std::snprintf(text.data(), text.size(), " %.3f", part);
        refused += text.data();
    }
    std::printf(
        "%s %s %s %.3f %.4f %.3f %.4f tokens=%.3f refused=%s use=%.2f/%.2f/%.2f booked=%llu "
        "moved=%llu failed=%llu\n",
        policy.c_str(), work.name.c_str(), load.c_str(), found.goodput, found.wasted,
        found.ttft_p95, found.itl_p95, found.token_goodput, refused.c_str(),
        found.use.prefill / found.use.samples, found.use.held / found.use.samples,
        found.use.decoding / found.use.samples, static_cast<unsigned long long>(found.booked),
        static_cast<unsigned long long>(found.moved),
        static_cast<unsigned long long>(found.failed));
    std::fflush(stdout);
}

}  // namespace
}  // namespace linnetlane::cell

auto main(int count, char** arguments) -> int {
    using namespace linnetlane::cell;
    auto const wanted = std::vector<std::string>(arguments + 1, arguments + count);
    for (auto const& work : workloads()) {
        if (!wanted.empty() && wanted[0] != work.name && wanted[0] != "all") {
            continue;
        }
        for (auto const* load : {"0.5", "0.8", "1.0", "1.2", "2.0", "1.2k"}) {
            auto const kill = std::string{load}.back() == 'k';
            for (auto const* policy : {"linnetlane", "round_robin", "least_load", "two_choices"}) {
                if (wanted.size() > 1 && wanted[1] != policy) {
                    continue;
                }
                auto mean = outcome{};
                for (auto seed = std::uint64_t{1}; seed <= seeds; ++seed) {
                    auto trial = experiment{work, policy, std::stod(load), kill, seed};
                    mean += trial.run();
                }
                print(work, policy, load, mean);
            }
        }
    }
    return 0;
}
