// Property test of the scheduler: sends random sequences of events from holders, engines and a
// network that loses, repeats and reorders messages, and checks the scheduler's invariants after
// each.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <rapidcheck/state.h>
#include <boost/test/unit_test.hpp>

#include "linnetlane/base/result.h"
#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t engine_pieces = 20;
constexpr std::int64_t engine_slots = 4;
// After a holder's last renewal, the scheduler has to abort its attempts within this time.
constexpr auto max_silence = seconds{3};
constexpr std::size_t host_count = 3;
constexpr std::size_t engine_count = 5;
// Length of the longest command sequence, as a multiple of RapidCheck's default of 100.
constexpr double length_scale = 6;

auto engine_name(std::size_t place) -> base::upstream_id {
    return base::upstream_id{(place < 2 ? "p" : "d") + std::to_string(place)};
}

auto settings_without(std::set<std::size_t> const& removed) -> configure {
    auto made = configure{};
    made.shape.decode_pieces = base::piece_count{engine_pieces};
    made.shape.decode_slots = engine_slots;
    made.targets.batch_first_token = seconds{20};
    for (auto place = std::size_t{0}; place < engine_count; ++place) {
        if (!removed.contains(place)) {
            auto& added = made.upstreams.emplace_back();
            added.id = engine_name(place);
            added.role =
                place < 2 ? service::upstream_role::prefill : service::upstream_role::decode;
        }
    }
    return made;
}

// The state of one attempt, derived from the events and commands only.
struct attempt_state {
    cell::holder holder;
    std::int64_t pieces = 0;
    base::upstream_id decode;
    // When it was granted or last renewed.
    base::time_point last_renewal;
    std::size_t grants = 0;
    std::size_t readies = 0;
    std::size_t refusals = 0;
    bool was_ready = false;
    // Whether it may hold pieces: ready, and not known to have left its decode engine.
    bool occupies = false;
    bool withdrawn = false;
    bool released = false;
};

class world {
public:
    world() { this->deliver(settings_without({})); }

    auto deliver(event const& what) -> void {
        this->sent.push_back(what);
        this->update_states(what);
        for (auto const& one : this->cell.handle(what, this->now)) {
            std::visit([this](auto const& command) { this->check(command); }, one);
        }
        this->check_invariants();
    }
    auto advance_time(base::duration length) -> void {
        auto const end = this->now + length;
        for (auto due = this->cell.next_deadline(); due && *due < end;
             due = this->cell.next_deadline()) {
            this->now = std::max(this->now + milliseconds{1}, *due);
            this->deliver(tick{});
        }
        this->now = std::max(this->now, end);
        this->deliver(tick{});
    }
    auto host(std::size_t place) const -> holder {
        return holder{base::host_id{"host" + std::to_string(place)},
                      base::incarnation{this->incarnations[place]}};
    }
    auto send_acquire(std::size_t place, std::int64_t prompt, bool batch, bool kept) -> void {
        auto what = acquire{};
        this->last_number += 1;
        what.attempt = attempt{base::request_id{1, this->last_number}, base::attempt_number{1}};
        what.holder = this->host(place);
        what.prompt = base::token_count{prompt};
        what.output_bound = base::token_count{200};
        what.priority = batch ? base::priority_class::batch : base::priority_class::interactive;
        what.first_token_deadline = this->now + (batch ? seconds{20} : seconds{2});
        if (kept) {
            what.kept_by = engine_name(0);
            what.kept_until = this->now + milliseconds{500};
        }
        this->deliver(what);
    }
    // Attempts that the current incarnation of host `place` was granted and has not released.
    auto attempts_held_by(std::size_t place) const -> std::vector<attempt> {
        auto found = std::vector<attempt>{};
        for (auto const& [key, state] : this->attempts) {
            auto const over = state.released || state.refusals > 0 || state.grants == 0;
            if (state.holder == this->host(place) && !over) {
                found.push_back(key);
            }
        }
        return found;
    }
    auto confirm_aborts() -> void {
        auto const due = std::exchange(this->aborts, {});
        for (auto const& [upstream, key] : due) {
            this->deliver(aborted{upstream, key});
        }
    }
    auto drop_aborts() -> void { this->aborts.clear(); }

    scheduler cell{scheduler_options{}};
    base::time_point now = base::time_point{} + std::chrono::hours{1};
    std::map<attempt, attempt_state> attempts;
    std::vector<event> sent;
    std::vector<std::uint64_t> incarnations = std::vector<std::uint64_t>(host_count, 1);
    std::set<base::upstream_id> leaving_by_report;
    std::set<base::upstream_id> unreachable;
    std::set<std::size_t> removed;

private:
    template <typename Event>
    auto update_state(Event const& /*what*/) -> void {}
    auto update_state(acquire const& what) -> void {
        auto const [place, added] = this->attempts.try_emplace(what.attempt);
        if (added) {
            place->second.holder = what.holder;
        }
    }
    auto update_state(release const& what) -> void {
        auto& state = this->attempts[what.attempt];
        if (state.grants == 0) {
            state.withdrawn = true;
        }
        if (state.holder == what.holder && !state.released) {
            state.released = true;
            state.occupies = state.occupies && !what.engines_clear;
        }
    }
    auto update_state(renew const& what) -> void {
        for (auto const& one : what.renewals) {
            this->attempts[one.attempt].last_renewal = this->now;
        }
    }
    auto update_state(aborted const& what) -> void {
        auto& state = this->attempts[what.attempt];
        if (state.decode == what.upstream && this->abort_sent.contains(what.attempt)) {
            state.occupies = false;
        }
    }
    auto update_state(holder_gone const& what) -> void { this->gone_holders.insert(what.holder); }
    auto update_state(upstream_report const& what) -> void {
        if (what.leaving) {
            this->leaving_by_report.insert(what.upstream);
        } else {
            this->leaving_by_report.erase(what.upstream);
        }
    }
    auto update_state(upstream_reachable const& what) -> void {
        if (what.reachable) {
            this->unreachable.erase(what.upstream);
        } else {
            this->unreachable.insert(what.upstream);
        }
    }
    auto update_states(event const& what) -> void {
        std::visit([this](auto const& one) { this->update_state(one); }, what);
    }

    auto may_take_work(base::upstream_id const& upstream) const -> bool {
        auto const place = static_cast<std::size_t>(upstream.value[1] - '0');
        return !this->leaving_by_report.contains(upstream) &&
               !this->unreachable.contains(upstream) && !this->removed.contains(place);
    }
    auto check(grant const& what) -> void {
        auto& state = this->attempts[what.attempt];
        RC_ASSERT(state.grants + state.refusals == 0U);
        RC_ASSERT(!state.withdrawn);
        RC_ASSERT(!this->gone_holders.contains(what.holder));
        RC_ASSERT(this->may_take_work(what.decode));
        RC_ASSERT((!what.prefill || this->may_take_work(*what.prefill)));
        RC_ASSERT((what.deadline > this->now));
        state.last_renewal = this->now;
        state.grants += 1;
        state.pieces = what.pieces.value;
        state.decode = what.decode;
        state.was_ready = what.ready;
        state.occupies = what.ready;
    }
    auto check(decode_ready const& what) -> void {
        auto& state = this->attempts[what.attempt];
        RC_ASSERT(state.grants == 1U);
        RC_ASSERT(!state.was_ready);
        RC_ASSERT(state.refusals == 0U);
        RC_ASSERT(!state.released);
        RC_ASSERT(this->may_take_work(what.decode));
        state.was_ready = true;
        state.decode = what.decode;
        state.occupies = true;
    }
    auto check(refuse const& what) -> void {
        auto& state = this->attempts[what.attempt];
        auto const failed = what.reason == refusal::booking_failed;
        RC_ASSERT(state.refusals == 0U);
        RC_ASSERT(state.grants == (failed ? 1U : 0U));
        RC_ASSERT(!state.was_ready);
        RC_ASSERT(!state.withdrawn);
        RC_ASSERT((what.retry_at >= this->now || !failed));
        state.refusals += 1;
    }
    auto check(abort const& what) -> void {
        this->aborts.emplace_back(what.upstream, what.attempt);
        this->abort_sent.insert(what.attempt);
    }
    auto check_invariants() -> void {
        auto pieces = std::map<base::upstream_id, std::int64_t>{};
        auto answers = std::map<base::upstream_id, std::int64_t>{};
        for (auto const& [key, state] : this->attempts) {
            auto const silent = this->now - state.last_renewal > max_silence;
            RC_ASSERT((!state.occupies || !silent || this->abort_sent.contains(key)));
            if (state.occupies) {
                pieces[state.decode] += state.pieces;
                answers[state.decode] += 1;
            }
        }
        for (auto const& [upstream, sum] : pieces) {
            RC_ASSERT(sum <= engine_pieces);
            RC_ASSERT(answers[upstream] <= engine_slots);
        }
    }

    std::uint64_t last_number = 0;
    std::vector<std::pair<base::upstream_id, attempt>> aborts;
    std::set<attempt> abort_sent;
    std::set<holder> gone_holders;
};

// RapidCheck's model has no state, because any command may follow any other.
struct stateless_model {};
using step = rc::state::Command<stateless_model, world>;

struct send_request : step {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, host_count);
    std::int64_t prompt = *rc::gen::inRange<std::int64_t>(1, 24'000);
    bool batch = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    bool kept = *rc::gen::weightedElement<bool>({{9, false}, {1, true}});
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        sut.send_acquire(this->host, this->prompt, this->batch, this->kept);
    }
    auto show(std::ostream& out) const -> void override {
        out << "arrive " << this->host << " " << this->prompt << " " << this->batch << this->kept;
    }
};

struct pass_time : step {
    int milliseconds_passed = *rc::gen::weightedOneOf<int>(
        {{6, rc::gen::inRange(0, 300)}, {2, rc::gen::inRange(0, 3000)}});
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        sut.advance_time(milliseconds{this->milliseconds_passed});
    }
    auto show(std::ostream& out) const -> void override {
        out << "pass " << this->milliseconds_passed << "ms";
    }
};

struct step_clock_back : step {
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        auto const before = sut.now;
        sut.now -= milliseconds{700};
        sut.deliver(tick{});
        sut.now = before;
    }
    auto show(std::ostream& out) const -> void override { out << "clock steps back"; }
};

struct renew_some : step {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, host_count);
    int phase_number = *rc::gen::inRange(0, 4);
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        auto message = renew{sut.host(this->host), {}};
        for (auto const& key : sut.attempts_held_by(this->host)) {
            message.renewals.push_back(
                {key, static_cast<phase>(this->phase_number), base::token_count{50}});
        }
        sut.deliver(message);
    }
    auto show(std::ostream& out) const -> void override { out << "renew host " << this->host; }
};

struct release_one : step {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, host_count);
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 100);
    bool clear = *rc::gen::arbitrary<bool>();
    int ending_number = *rc::gen::inRange(0, 6);
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        auto keys = std::vector<attempt>{};
        for (auto const& [key, state] : sut.attempts) {
            if (state.holder == sut.host(this->host) && !state.released) {
                keys.push_back(key);
            }
        }
        if (keys.empty()) {
            return;
        }
        auto message = release{};
        message.attempt = keys[this->which % keys.size()];
        message.holder = sut.host(this->host);
        message.ending = static_cast<ending>(this->ending_number);
        message.engines_clear = this->clear;
        sut.deliver(message);
    }
    auto show(std::ostream& out) const -> void override {
        out << "release " << this->host << "/" << this->which << " clear " << this->clear;
    }
};

// Sends an earlier event again, as a late or duplicated message.
struct redeliver : step {
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 1000);
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        auto const old = sut.sent[this->which % sut.sent.size()];
        auto const skipped = std::holds_alternative<configure>(old);
        sut.deliver(skipped ? event{tick{}} : old);
    }
    auto show(std::ostream& out) const -> void override { out << "again " << this->which; }
};

struct settle_aborts : step {
    bool drop = *rc::gen::arbitrary<bool>();
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        this->drop ? sut.drop_aborts() : sut.confirm_aborts();
    }
    auto show(std::ostream& out) const -> void override { out << "aborts lost " << this->drop; }
};

struct fail_host : step {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, host_count);
    bool noticed = *rc::gen::arbitrary<bool>();
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        auto const failed = sut.host(this->host);
        sut.incarnations[this->host] += 1;
        if (this->noticed) {
            sut.deliver(holder_gone{failed});
        }
    }
    auto show(std::ostream& out) const -> void override {
        out << "host " << this->host << " dies, noticed " << this->noticed;
    }
};

struct report_load : step {
    std::size_t engine = *rc::gen::inRange<std::size_t>(0, engine_count);
    std::int64_t used = *rc::gen::inRange<std::int64_t>(0, engine_pieces + 5);
    bool leaving = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        auto message = upstream_report{};
        message.upstream = engine_name(this->engine);
        message.pieces_used = base::piece_count{this->used};
        message.leaving = this->leaving;
        sut.deliver(message);
    }
    auto show(std::ostream& out) const -> void override {
        out << "report " << this->engine << " leaving " << this->leaving;
    }
};

struct set_reachable : step {
    std::size_t engine = *rc::gen::inRange<std::size_t>(0, engine_count);
    bool reachable = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        sut.deliver(upstream_reachable{engine_name(this->engine), this->reachable});
    }
    auto show(std::ostream& out) const -> void override {
        out << "engine " << this->engine << " reachable " << this->reachable;
    }
};

struct change_document : step {
    std::size_t engine = *rc::gen::inRange<std::size_t>(0, engine_count);
    bool removes = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        if (this->removes) {
            sut.removed.insert(this->engine);
        } else {
            sut.removed.erase(this->engine);
        }
        sut.deliver(settings_without(sut.removed));
    }
    auto show(std::ostream& out) const -> void override {
        out << "document " << (this->removes ? "without " : "with ") << this->engine;
    }
};

struct announce_again : step {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, host_count);
    auto run(stateless_model const& /*model*/, world& sut) const -> void override {
        auto message = announce{sut.host(this->host), {}};
        for (auto const& key : sut.attempts_held_by(this->host)) {
            auto const& state = sut.attempts[key];
            auto held = held_grant{};
            held.attempt = key;
            held.decode = state.decode;
            held.pieces = base::piece_count{state.pieces};
            message.grants.push_back(held);
        }
        sut.deliver(message);
    }
    auto show(std::ostream& out) const -> void override { out << "announce " << this->host; }
};

auto check_end(world& sut) -> void {
    for (auto place = std::size_t{0}; place < engine_count; ++place) {
        sut.deliver(upstream_reachable{engine_name(place), true});
    }
    for (auto round = 0; round < 12; ++round) {
        sut.advance_time(seconds{3});
        sut.confirm_aborts();
    }
    auto const view = sut.cell.snapshot();
    for (auto const& one : view.upstreams) {
        RC_ASSERT(one.used.value == 0);
        RC_ASSERT(one.booked.value == 0);
        RC_ASSERT(one.running == 0);
    }
    RC_ASSERT(view.grants == 0U);
    RC_ASSERT(view.interactive_waiting + view.batch_waiting == 0U);
    for (auto const& [key, state] : sut.attempts) {
        auto const answered = state.grants + state.refusals > 0;
        auto const gone =
            state.holder.incarnation.value <
            sut.incarnations[static_cast<std::size_t>(state.holder.host.value[4] - '0')];
        RC_ASSERT((answered || state.withdrawn || gone));
    }
}

BOOST_AUTO_TEST_CASE(invariants_hold_for_any_sequence_of_events) {
    auto const held = rc::check([] {
        auto model = stateless_model{};
        auto sut = world{};
        auto const commands = *rc::gen::scale(
            length_scale,
            rc::state::gen::commands(
                model,
                rc::state::gen::execOneOfWithArgs<
                    send_request, send_request, send_request, send_request, pass_time, pass_time,
                    renew_some, release_one, redeliver, settle_aborts, fail_host, report_load,
                    set_reachable, change_document, announce_again, step_clock_back>()));
        rc::state::runAll(commands, model, sut);
        check_end(sut);
    });
    BOOST_TEST(held);
}

}  // namespace
}  // namespace linnetlane::cell
