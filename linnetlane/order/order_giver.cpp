#include "linnetlane/order/order_giver.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace linnetlane::order {

namespace {

auto role_now(std::optional<engine_setup> const& known, service::upstream const& described)
    -> service::upstream_role {
    return known ? known->role : described.role;
}

auto is_decode(service::upstream_role role) -> bool {
    return role == service::upstream_role::decode;
}

// Whether the change takes something from the weight store.
auto loads_weights(engine_setup const& from, engine_setup const& to) -> bool {
    return from.model != to.model || from.version != to.version || from.adapters != to.adapters;
}

// Adapters are loaded beside running work; all else ends it.
auto ends_running_work(engine_setup const& from, engine_setup const& to) -> bool {
    return from.model != to.model || from.version != to.version || from.role != to.role;
}

}  // namespace

order_giver::order_giver(base::service_id service, limits limits_in_force, std::string writer)
    : bounds(limits_in_force), lease(std::move(service), limits_in_force, std::move(writer)) {}

auto order_giver::handle(event const& happened, base::time_point now) -> std::vector<command> {
    this->out.clear();
    // A lease that ended during a pause is noticed before anything is sent.
    if (!this->lease.run_due(now, this->out) && this->holds) {
        this->step_down();
    }
    std::visit([&](auto const& each) { this->on(each, now); }, happened);
    if (this->holds) {
        this->run_due(now);
    }
    return std::move(this->out);
}

auto order_giver::next_deadline() const -> base::time_point {
    auto next = this->lease.next_deadline();
    if (!this->holds) {
        return next;
    }
    for (auto const& [upstream, each] : this->engines) {
        if (each.stage == stage::resting) {
            next = std::min(next, each.next_look);
        }
    }
    return next;
}

// ---- Events ----

auto order_giver::on(configure const& notice, base::time_point now) -> void {
    this->deployment = notice.deployment;
    auto renewed = std::map<base::upstream_id, engine>{};
    for (auto const& upstream : notice.upstreams) {
        auto const known = this->engines.find(upstream.id);
        auto& kept = renewed[upstream.id];
        if (known != this->engines.end()) {
            kept = std::move(known->second);
        }
        kept.described = upstream;
        if (known == this->engines.end()) {
            // An earlier giver may have sent it an order just now.
            kept.quiet_until = now + this->old_orders_last(kept);
        }
        kept.next_look = now;
    }
    this->engines = std::move(renewed);
    auto const removed = std::erase_if(this->state.drained, [&](auto const& upstream) {
        return !this->engines.contains(upstream);
    });
    this->state_changed = this->state_changed || removed > 0;
}

auto order_giver::on(candidate_changed const& notice, base::time_point now) -> void {
    this->lease.set_candidate(notice.candidate, now, this->out);
    if (!this->lease.run_due(now, this->out) && this->holds) {
        this->step_down();
    }
}

auto order_giver::on(pressure_measured const& notice, base::time_point now) -> void {
    auto const fixed = this->deployment.least_decode == 0 && this->deployment.most_decode == 0;
    if (!this->holds || fixed) {
        return;
    }
    auto const before = this->wanted_decode(notice.data_centre);
    auto const change =
        this->sizers[notice.data_centre].measure(notice.prefill, notice.decode, now, this->bounds);
    if (change == 0) {
        return;
    }
    this->state.decode[notice.data_centre] = before + change;
    this->state.decode[notice.data_centre] = this->wanted_decode(notice.data_centre);
    this->state_changed = true;
    for (auto& [upstream, each] : this->engines) {
        each.next_look = now;
    }
}

auto order_giver::on(engine_read const& notice, base::time_point now) -> void {
    auto* const each = this->find(notice.upstream, notice.order, stage::reading);
    if (each == nullptr) {
        return;
    }
    each->known = notice.setup;
    if (notice.order_under_way) {
        this->rest(*each, now + this->bounds.busy_poll);
        return;
    }
    this->decide(*each, notice.running, now);
}

auto order_giver::on(order_answered const& notice, base::time_point now) -> void {
    auto* const each = this->find(notice.upstream, notice.order, stage::ordering);
    if (each == nullptr) {
        return;
    }
    switch (notice.outcome) {
        case order_outcome::accepted:
            // It may take a moment until the engine says so of itself.
            each->quiet_until = now + this->bounds.order_flight;
            this->rest(*each, now + this->bounds.busy_poll);
            break;
        case order_outcome::busy:
            this->rest(*each, now + this->bounds.busy_poll);
            break;
        case order_outcome::unknown:
            each->quiet_until = each->order_deadline + this->bounds.order_flight;
            this->rest(*each, each->quiet_until);
            break;
        case order_outcome::fenced:
            this->lease.release(now, this->out);
            this->step_down();
            break;
    }
}

auto order_giver::on(engine_unreadable const& notice, base::time_point now) -> void {
    if (auto* const each = this->find(notice.upstream, notice.order, stage::reading)) {
        this->rest(*each, now + this->bounds.check_period);
    }
}

auto order_giver::on(drain_in_force const& notice, base::time_point now) -> void {
    auto const found = this->engines.find(notice.upstream);
    if (found != this->engines.end() && found->second.drained) {
        found->second.drain_in_force = true;
        found->second.next_look = now;
    }
}

auto order_giver::on(store_answered const& notice, base::time_point now) -> void {
    switch (this->lease.handle(notice.answer, now, this->out)) {
        case lease_news::taken:
            this->take_over(now);
            break;
        case lease_news::written:
            this->on_written(now);
            break;
        case lease_news::lost:
            this->step_down();
            break;
        case lease_news::not_ours:
        case lease_news::none:
            break;
    }
}

auto order_giver::on(tick const& /*notice*/, base::time_point /*now*/) -> void {}

// ---- The lease ----

auto order_giver::take_over(base::time_point now) -> void {
    this->holds = true;
    this->state = this->lease.inherited();
    this->state_changed = false;
    // The giver before may just have loaded.
    this->next_load = now + base::from_seconds(1 / this->deployment.weight_loads_per_second);
    for (auto& [upstream, each] : this->engines) {
        each.quiet_until = now + this->old_orders_last(each);
        each.next_look = now;
        each.drained = this->state.drained.contains(upstream);
        if (each.drained) {
            this->out.emplace_back(drain{upstream});
        }
    }
}

// For how long orders of an earlier giver may still arrive at an engine. One that was given just
// before its lease was released may be sent for one flight, and then takes another. An engine that
// checks fencing refuses it once it has had a new one; until then it would take both. One that
// doesn't check is spared the platform's mistakes too: the lease is waited out as if it had only
// now ended.
auto order_giver::old_orders_last(engine const& each) const -> base::duration {
    auto const released = 2 * this->bounds.order_flight;
    auto const expired = this->bounds.lease_span + this->bounds.order_flight;
    return each.described.checks_fencing ? released : std::max(released, expired);
}

auto order_giver::step_down() -> void {
    this->holds = false;
    for (auto& [upstream, each] : this->engines) {
        each.stage = stage::resting;
        each.in_write = false;
        each.drained = false;
        each.drain_in_force = false;
    }
}

// ---- Engines ----

auto order_giver::run_due(base::time_point now) -> void {
    if (this->deployment.model.empty()) {
        return;
    }
    for (auto& [upstream, each] : this->engines) {
        auto const stays =
            each.described.role != service::upstream_role::plain && !each.described.leaving;
        if (stays && each.stage == stage::resting && now >= each.next_look) {
            this->look_at(each);
        }
    }
    this->write_if_needed();
}

auto order_giver::look_at(engine& each) -> void {
    each.stage = stage::reading;
    each.pending = this->next_order();
    this->out.emplace_back(read_engine{each.pending, each.described.id});
}

auto order_giver::decide(engine& each, std::int64_t running, base::time_point now) -> void {
    auto const wanted = this->wanted_setup(each);
    if (*each.known == wanted) {
        this->finish(each, now);
        return;
    }
    auto const drains = ends_running_work(*each.known, wanted);
    if (drains && !each.drained) {
        this->begin_drain(each, now);
        return;
    }
    if (drains && (!each.drain_in_force || running > 0)) {
        this->rest(each, now + this->bounds.busy_poll);
        return;
    }
    this->prepare_order(each, now);
}

auto order_giver::finish(engine& each, base::time_point now) -> void {
    this->rest(each, now + this->bounds.check_period);
    each.orders_without_success = 0;
    if (!each.drained) {
        return;
    }
    each.drained = false;
    each.drain_in_force = false;
    this->state.drained.erase(each.described.id);
    this->state_changed = true;
    this->out.emplace_back(end_drain{each.described.id, each.known->role});
}

auto order_giver::begin_drain(engine& each, base::time_point now) -> void {
    if (this->changes_under_way() >= this->most_changes()) {
        this->rest(each, now + this->bounds.busy_poll);
        return;
    }
    each.stage = stage::writing_drain;
    this->state.drained.insert(each.described.id);
    this->state_changed = true;
}

auto order_giver::prepare_order(engine& each, base::time_point now) -> void {
    each.ordered = this->wanted_setup(each);
    auto const loads = loads_weights(*each.known, each.ordered);
    auto const earliest = loads ? std::max(each.quiet_until, this->next_load) : each.quiet_until;
    if (now < earliest) {
        this->rest(each, earliest);
        return;
    }
    if (loads) {
        auto const spacing = base::from_seconds(1 / this->deployment.weight_loads_per_second);
        this->next_load = now + spacing;
    }
    each.stage = stage::writing_order;
    this->state_changed = true;
}

auto order_giver::on_written(base::time_point now) -> void {
    for (auto& [upstream, each] : this->engines) {
        if (!std::exchange(each.in_write, false)) {
            continue;
        }
        if (each.stage == stage::writing_order) {
            this->send_order(each, now);
        } else if (each.stage == stage::writing_drain) {
            each.drained = true;
            this->out.emplace_back(drain{upstream});
            this->rest(each, now + this->bounds.busy_poll);
        }
    }
}

auto order_giver::send_order(engine& each, base::time_point now) -> void {
    ++each.orders_without_success;
    if (each.orders_without_success > this->bounds.stuck_after) {
        each.orders_without_success = 0;
        this->out.emplace_back(engine_stuck{each.described.id});
        this->rest(each, now + this->bounds.check_period);
        return;
    }
    each.stage = stage::ordering;
    each.pending = this->next_order();
    each.order_deadline = std::min(this->lease.deadline(), now + this->bounds.order_flight);
    this->out.emplace_back(give_order{each.pending, each.described.id, this->lease.fencing(),
                                      each.ordered, each.order_deadline});
}

auto order_giver::write_if_needed() -> void {
    if (!this->state_changed || this->lease.is_writing()) {
        return;
    }
    this->state_changed = false;
    for (auto& [upstream, each] : this->engines) {
        each.in_write = each.stage == stage::writing_drain || each.stage == stage::writing_order;
    }
    this->lease.write(this->state, this->out);
}

auto order_giver::rest(engine& each, base::time_point until) -> void {
    each.stage = stage::resting;
    each.next_look = until;
}

auto order_giver::find(base::upstream_id const& upstream, order_number order, stage expected)
    -> engine* {
    auto const found = this->engines.find(upstream);
    auto const fits = this->holds && found != this->engines.end() &&
                      found->second.stage == expected && found->second.pending == order;
    return fits ? &found->second : nullptr;
}

auto order_giver::next_order() -> order_number {
    this->last_order = this->last_order.next();
    return this->last_order;
}

// ---- What should be ----

auto order_giver::wanted_setup(engine const& each) const -> engine_setup {
    return {this->deployment.model, this->deployment.version, this->deployment.adapters,
            this->wanted_role(each)};
}

// Engines that decode now stay so as far as they are wanted, so that few change.
auto order_giver::wanted_role(engine const& each) const -> service::upstream_role {
    auto const fixed = this->deployment.least_decode == 0 && this->deployment.most_decode == 0;
    if (fixed) {
        return each.described.role;
    }
    auto ahead = std::int64_t{0};
    auto const decodes = is_decode(role_now(each.known, each.described));
    for (auto const& [upstream, other] : this->engines) {
        auto const here = other.described.data_centre == each.described.data_centre &&
                          other.described.role != service::upstream_role::plain;
        auto const other_decodes = is_decode(role_now(other.known, other.described));
        auto const before = other_decodes == decodes ? upstream < each.described.id : other_decodes;
        ahead += here && before ? 1 : 0;
    }
    return ahead < this->wanted_decode(each.described.data_centre)
               ? service::upstream_role::decode
               : service::upstream_role::prefill;
}

auto order_giver::wanted_decode(base::data_centre_id const& data_centre) const -> std::int64_t {
    auto all = std::int64_t{0};
    auto by_document = std::int64_t{0};
    for (auto const& [upstream, each] : this->engines) {
        if (each.described.data_centre == data_centre) {
            all += each.described.role == service::upstream_role::plain ? 0 : 1;
            by_document += is_decode(each.described.role) ? 1 : 0;
        }
    }
    auto const moved = this->state.decode.find(data_centre);
    auto const wanted = moved == this->state.decode.end() ? by_document : moved->second;
    // One engine stays for prefill.
    auto const most = std::min(this->deployment.most_decode, all - 1);
    return std::max(std::min(wanted, most), this->deployment.least_decode);
}

auto order_giver::changes_under_way() const -> std::size_t {
    auto const changes = [](auto const& each) {
        return each.second.drained || each.second.stage == stage::writing_drain;
    };
    return static_cast<std::size_t>(
        std::count_if(this->engines.begin(), this->engines.end(), changes));
}

auto order_giver::most_changes() const -> std::size_t {
    return std::max<std::size_t>(1, this->engines.size() / this->bounds.engines_per_change);
}

}  // namespace linnetlane::order
