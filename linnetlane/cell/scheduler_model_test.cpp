// A state-machine model over the scheduler: holders, engines and a lossy, reordering network do
// anything at any moment, and after each step the scheduler's promises are checked.

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
// After a holder's last word, its engines are told to end its work within this time.
constexpr auto longest_silence = seconds{3};
constexpr std::size_t host_count = 3;
constexpr std::size_t engine_count = 5;
// Commands in the longest run, as a multiple of the library's default of 100.
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

// What is known of one attempt from the messages alone.
struct attempt_truth {
    holder who;
    std::int64_t pieces = 0;
    base::upstream_id decode;
    // When its holder last gave a sign of life to the scheduler.
    base::time_point alive;
    std::size_t grants = 0;
    std::size_t readies = 0;
    std::size_t refusals = 0;
    bool was_ready = false;
    // Ready and not known to be clear.
    bool occupies = false;
    bool withdrawn = false;
    bool released = false;
};

class world {
public:
    world() { this->deliver(settings_without({})); }

    auto deliver(event const& what) -> void {
        this->sent.push_back(what);
        this->before(what);
        for (auto const& one : this->cell.handle(what, this->now)) {
            std::visit([this](auto const& command) { this->check(command); }, one);
        }
        this->check_engines();
    }
    auto pass(base::duration length) -> void {
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
    auto ask(std::size_t place, std::int64_t prompt, bool batch, bool kept) -> void {
        auto what = acquire{};
        this->numbers += 1;
        what.attempt = attempt{base::request_id{1, this->numbers}, base::attempt_number{1}};
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
    // All that `place`'s present incarnation has been granted and not given back.
    auto held_by(std::size_t place) const -> std::vector<attempt> {
        auto found = std::vector<attempt>{};
        for (auto const& [key, truth] : this->attempts) {
            auto const over = truth.released || truth.refusals > 0 || truth.grants == 0;
            if (truth.who == this->host(place) && !over) {
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
    auto lose_aborts() -> void { this->aborts.clear(); }

    scheduler cell{scheduler_options{}};
    base::time_point now = base::time_point{} + std::chrono::hours{1};
    std::map<attempt, attempt_truth> attempts;
    std::vector<event> sent;
    std::vector<std::uint64_t> incarnations = std::vector<std::uint64_t>(host_count, 1);
    std::set<base::upstream_id> shunned_by_report;
    std::set<base::upstream_id> unreachable;
    std::set<std::size_t> removed;

private:
    template <typename Event>
    auto before_one(Event const& /*what*/) -> void {}
    auto before_one(acquire const& what) -> void {
        auto const [place, added] = this->attempts.try_emplace(what.attempt);
        if (added) {
            place->second.who = what.holder;
        }
    }
    auto before_one(release const& what) -> void {
        auto& truth = this->attempts[what.attempt];
        if (truth.grants == 0) {
            truth.withdrawn = true;
        }
        if (truth.who == what.holder && !truth.released) {
            truth.released = true;
            truth.occupies = truth.occupies && !what.engines_clear;
        }
    }
    auto before_one(renew const& what) -> void {
        for (auto const& one : what.renewals) {
            this->attempts[one.attempt].alive = this->now;
        }
    }
    auto before_one(aborted const& what) -> void {
        auto& truth = this->attempts[what.attempt];
        if (truth.decode == what.upstream && this->abort_sent.contains(what.attempt)) {
            truth.occupies = false;
        }
    }
    auto before_one(holder_gone const& what) -> void { this->known_gone.insert(what.holder); }
    auto before_one(upstream_report const& what) -> void {
        if (what.leaving) {
            this->shunned_by_report.insert(what.upstream);
        } else {
            this->shunned_by_report.erase(what.upstream);
        }
    }
    auto before_one(upstream_reachable const& what) -> void {
        if (what.reachable) {
            this->unreachable.erase(what.upstream);
        } else {
            this->unreachable.insert(what.upstream);
        }
    }
    auto before(event const& what) -> void {
        std::visit([this](auto const& one) { this->before_one(one); }, what);
    }

    auto may_take_work(base::upstream_id const& upstream) const -> bool {
        auto const place = static_cast<std::size_t>(upstream.value[1] - '0');
        return !this->shunned_by_report.contains(upstream) &&
               !this->unreachable.contains(upstream) && !this->removed.contains(place);
    }
    auto check(grant const& what) -> void {
        auto& truth = this->attempts[what.attempt];
        RC_ASSERT(truth.grants + truth.refusals == 0U);
        RC_ASSERT(!truth.withdrawn);
        RC_ASSERT(!this->known_gone.contains(what.holder));
        RC_ASSERT(this->may_take_work(what.decode));
        RC_ASSERT((!what.prefill || this->may_take_work(*what.prefill)));
        RC_ASSERT((what.deadline > this->now));
        truth.alive = this->now;
        truth.grants += 1;
        truth.pieces = what.pieces.value;
        truth.decode = what.decode;
        truth.was_ready = what.ready;
        truth.occupies = what.ready;
    }
    auto check(decode_ready const& what) -> void {
        auto& truth = this->attempts[what.attempt];
        RC_ASSERT(truth.grants == 1U);
        RC_ASSERT(!truth.was_ready);
        RC_ASSERT(truth.refusals == 0U);
        RC_ASSERT(!truth.released);
        RC_ASSERT(this->may_take_work(what.decode));
        truth.was_ready = true;
        truth.decode = what.decode;
        truth.occupies = true;
    }
    auto check(refuse const& what) -> void {
        auto& truth = this->attempts[what.attempt];
        auto const failed = what.reason == refusal::booking_failed;
        RC_ASSERT(truth.refusals == 0U);
        RC_ASSERT(truth.grants == (failed ? 1U : 0U));
        RC_ASSERT(!truth.was_ready);
        RC_ASSERT(!truth.withdrawn);
        RC_ASSERT((what.retry_at >= this->now || !failed));
        truth.refusals += 1;
    }
    auto check(abort const& what) -> void {
        this->aborts.emplace_back(what.upstream, what.attempt);
        this->abort_sent.insert(what.attempt);
    }
    auto check_engines() -> void {
        auto pieces = std::map<base::upstream_id, std::int64_t>{};
        auto answers = std::map<base::upstream_id, std::int64_t>{};
        for (auto const& [key, truth] : this->attempts) {
            auto const silent = this->now - truth.alive > longest_silence;
            RC_ASSERT((!truth.occupies || !silent || this->abort_sent.contains(key)));
            if (truth.occupies) {
                pieces[truth.decode] += truth.pieces;
                answers[truth.decode] += 1;
            }
        }
        for (auto const& [upstream, sum] : pieces) {
            RC_ASSERT(sum <= engine_pieces);
            RC_ASSERT(answers[upstream] <= engine_slots);
        }
    }

    std::uint64_t numbers = 0;
    std::vector<std::pair<base::upstream_id, attempt>> aborts;
    std::set<attempt> abort_sent;
    std::set<holder> known_gone;
};

// The model proper has no state: what may happen never depends on it.
struct anything {};
using step = rc::state::Command<anything, world>;

struct arrive : step {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, host_count);
    std::int64_t prompt = *rc::gen::inRange<std::int64_t>(1, 24'000);
    bool batch = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    bool kept = *rc::gen::weightedElement<bool>({{9, false}, {1, true}});
    auto run(anything const& /*model*/, world& sut) const -> void override {
        sut.ask(this->host, this->prompt, this->batch, this->kept);
    }
    auto show(std::ostream& out) const -> void override {
        out << "arrive " << this->host << " " << this->prompt << " " << this->batch << this->kept;
    }
};

struct pass_time : step {
    int span = *rc::gen::weightedOneOf<int>(
        {{6, rc::gen::inRange(0, 300)}, {2, rc::gen::inRange(0, 3000)}});
    auto run(anything const& /*model*/, world& sut) const -> void override {
        sut.pass(milliseconds{this->span});
    }
    auto show(std::ostream& out) const -> void override { out << "pass " << this->span << "ms"; }
};

struct step_clock_back : step {
    auto run(anything const& /*model*/, world& sut) const -> void override {
        auto const before = sut.now;
        sut.now -= milliseconds{700};
        sut.deliver(tick{});
        sut.now = before;
    }
    auto show(std::ostream& out) const -> void override { out << "clock steps back"; }
};

struct renew_some : step {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, host_count);
    int last = *rc::gen::inRange(0, 4);
    auto run(anything const& /*model*/, world& sut) const -> void override {
        auto word = renew{sut.host(this->host), {}};
        for (auto const& key : sut.held_by(this->host)) {
            word.renewals.push_back({key, static_cast<phase>(this->last), base::token_count{50}});
        }
        sut.deliver(word);
    }
    auto show(std::ostream& out) const -> void override { out << "renew host " << this->host; }
};

struct give_back_one : step {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, host_count);
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 100);
    bool clear = *rc::gen::arbitrary<bool>();
    int how = *rc::gen::inRange(0, 6);
    auto run(anything const& /*model*/, world& sut) const -> void override {
        auto keys = std::vector<attempt>{};
        for (auto const& [key, truth] : sut.attempts) {
            if (truth.who == sut.host(this->host) && !truth.released) {
                keys.push_back(key);
            }
        }
        if (keys.empty()) {
            return;
        }
        auto word = release{};
        word.attempt = keys[this->which % keys.size()];
        word.holder = sut.host(this->host);
        word.ending = static_cast<ending>(this->how);
        word.engines_clear = this->clear;
        sut.deliver(word);
    }
    auto show(std::ostream& out) const -> void override {
        out << "release " << this->host << "/" << this->which << " clear " << this->clear;
    }
};

// A late, duplicated or crossed message: any earlier one again.
struct deliver_again : step {
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 1000);
    auto run(anything const& /*model*/, world& sut) const -> void override {
        auto const old = sut.sent[this->which % sut.sent.size()];
        auto const skipped = std::holds_alternative<configure>(old);
        sut.deliver(skipped ? event{tick{}} : old);
    }
    auto show(std::ostream& out) const -> void override { out << "again " << this->which; }
};

struct settle_aborts : step {
    bool lost = *rc::gen::arbitrary<bool>();
    auto run(anything const& /*model*/, world& sut) const -> void override {
        this->lost ? sut.lose_aborts() : sut.confirm_aborts();
    }
    auto show(std::ostream& out) const -> void override { out << "aborts lost " << this->lost; }
};

struct host_dies : step {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, host_count);
    bool noticed = *rc::gen::arbitrary<bool>();
    auto run(anything const& /*model*/, world& sut) const -> void override {
        auto const dead = sut.host(this->host);
        sut.incarnations[this->host] += 1;
        if (this->noticed) {
            sut.deliver(holder_gone{dead});
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
    auto run(anything const& /*model*/, world& sut) const -> void override {
        auto word = upstream_report{};
        word.upstream = engine_name(this->engine);
        word.pieces_used = base::piece_count{this->used};
        word.leaving = this->leaving;
        sut.deliver(word);
    }
    auto show(std::ostream& out) const -> void override {
        out << "report " << this->engine << " leaving " << this->leaving;
    }
};

struct lose_engine : step {
    std::size_t engine = *rc::gen::inRange<std::size_t>(0, engine_count);
    bool back = *rc::gen::weightedElement<bool>({{3, true}, {1, false}});
    auto run(anything const& /*model*/, world& sut) const -> void override {
        sut.deliver(upstream_reachable{engine_name(this->engine), this->back});
    }
    auto show(std::ostream& out) const -> void override {
        out << "engine " << this->engine << " reachable " << this->back;
    }
};

struct change_document : step {
    std::size_t engine = *rc::gen::inRange<std::size_t>(0, engine_count);
    bool removes = *rc::gen::weightedElement<bool>({{3, false}, {1, true}});
    auto run(anything const& /*model*/, world& sut) const -> void override {
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
    auto run(anything const& /*model*/, world& sut) const -> void override {
        auto word = announce{sut.host(this->host), {}};
        for (auto const& key : sut.held_by(this->host)) {
            auto const& truth = sut.attempts[key];
            auto held = held_grant{};
            held.attempt = key;
            held.decode = truth.decode;
            held.pieces = base::piece_count{truth.pieces};
            word.grants.push_back(held);
        }
        sut.deliver(word);
    }
    auto show(std::ostream& out) const -> void override { out << "announce " << this->host; }
};

auto check_end(world& sut) -> void {
    for (auto place = std::size_t{0}; place < engine_count; ++place) {
        sut.deliver(upstream_reachable{engine_name(place), true});
    }
    for (auto round = 0; round < 12; ++round) {
        sut.pass(seconds{3});
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
    for (auto const& [key, truth] : sut.attempts) {
        auto const answered = truth.grants + truth.refusals > 0;
        auto const gone = truth.who.incarnation.value <
                          sut.incarnations[static_cast<std::size_t>(truth.who.host.value[4] - '0')];
        RC_ASSERT((answered || truth.withdrawn || gone));
    }
}

BOOST_AUTO_TEST_CASE(the_promises_hold_whatever_holders_engines_and_the_network_do) {
    auto const held = rc::check([] {
        auto model = anything{};
        auto sut = world{};
        auto const commands = *rc::gen::scale(
            length_scale,
            rc::state::gen::commands(
                model, rc::state::gen::execOneOfWithArgs<
                           arrive, arrive, arrive, arrive, pass_time, pass_time, renew_some,
                           give_back_one, deliver_again, settle_aborts, host_dies, report_load,
                           lose_engine, change_document, announce_again, step_clock_back>()));
        rc::state::runAll(commands, model, sut);
        check_end(sut);
    });
    BOOST_TEST(held);
}

}  // namespace
}  // namespace linnetlane::cell
