#include "linnetlane/order/order_giver.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace linnetlane::order {

namespace {

auto current_role(std::optional<engine_setup> const& reported, service::upstream const& declared)
    -> service::upstream_role {
    return reported ? reported->role : declared.role;
}

auto is_decode(service::upstream_role role) -> bool {
    return role == service::upstream_role::decode;
}

// Whether the change loads weights from the weight store.
auto loads_weights(engine_setup const& from, engine_setup const& to) -> bool {
    return from.model != to.model || from.version != to.version || from.adapters != to.adapters;
}

// Adapters are loaded while requests run; any other change ends running requests.
auto ends_running_work(engine_setup const& from, engine_setup const& to) -> bool {
    return from.model != to.model || from.version != to.version || from.role != to.role;
}

}  // namespace

order_giver::order_giver(base::service_id service, limits limits_in_force, std::string writer)
    : bounds(limits_in_force), lease(std::move(service), limits_in_force, std::move(writer)) {}

auto order_giver::handle(event const& happened, base::time_point now) -> std::vector<command> {
    this->out.clear();
    // Before anything is sent, checks whether the lease expired while the process was paused.
    if (!this->lease.run_due(now, this->out) && this->holding_lease) {
        this->step_down();
    }
    std::visit([&](auto const& each) { this->on(each, now); }, happened);
    if (this->holding_lease) {
        this->run_due(now);
    }
    return std::move(this->out);
}

auto order_giver::next_deadline() const -> base::time_point {
    auto next = this->lease.next_deadline();
    if (!this->holding_lease) {
        return next;
    }
    for (auto const& [upstream, each] : this->engines) {
        if (each.stage == stage::waiting) {
            next = std::min(next, each.next_poll);
        }
    }
    return next;
}

// ---- Events ----

auto order_giver::on(configuration_changed const& notice, base::time_point now) -> void {
    this->deployment = notice.deployment;
    auto renewed = std::map<base::upstream_id, engine>{};
    for (auto const& upstream : notice.upstreams) {
        auto const known = this->engines.find(upstream.id);
        auto& kept = renewed[upstream.id];
        if (known != this->engines.end()) {
            kept = std::move(known->second);
        }
        kept.declared = upstream;
        if (known == this->engines.end()) {
            // An earlier order giver may have just sent it an order.
            kept.no_order_before = now + this->stale_order_window(kept);
        }
        kept.next_poll = now;
    }
    this->engines = std::move(renewed);
    auto const removed = std::erase_if(this->state.drained, [&](auto const& upstream) {
        return !this->engines.contains(upstream);
    });
    this->state_changed = this->state_changed || removed > 0;
}

auto order_giver::on(candidate_changed const& notice, base::time_point now) -> void {
    this->lease.set_candidate(notice.candidate, now, this->out);
    if (!this->lease.run_due(now, this->out) && this->holding_lease) {
        this->step_down();
    }
}

auto order_giver::on(pressure_measured const& notice, base::time_point now) -> void {
    auto const fixed = this->deployment.least_decode == 0 && this->deployment.most_decode == 0;
    if (!this->holding_lease || fixed) {
        return;
    }
    auto const before = this->desired_decode(notice.data_centre);
    auto const change =
        this->sizers[notice.data_centre].update(notice.prefill, notice.decode, now, this->bounds);
    if (change == 0) {
        return;
    }
    this->state.decode[notice.data_centre] = before + change;
    this->state.decode[notice.data_centre] = this->desired_decode(notice.data_centre);
    this->state_changed = true;
    for (auto& [upstream, each] : this->engines) {
        each.next_poll = now;
    }
}

auto order_giver::on(engine_read const& notice, base::time_point now) -> void {
    auto* const each = this->find_awaiting(notice.upstream, notice.order, stage::reading);
    if (each == nullptr) {
        return;
    }
    each->reported = notice.setup;
    if (notice.order_under_way) {
        this->wait_until(*each, now + this->bounds.busy_poll_period);
        return;
    }
    this->reconcile(*each, notice.running, now);
}

auto order_giver::on(order_answered const& notice, base::time_point now) -> void {
    auto* const each = this->find_awaiting(notice.upstream, notice.order, stage::ordering);
    if (each == nullptr) {
        return;
    }
    switch (notice.outcome) {
        case order_outcome::accepted:
            // The engine may report the order as in progress only after a delay.
            each->no_order_before = now + this->bounds.max_order_delay;
            this->wait_until(*each, now + this->bounds.busy_poll_period);
            break;
        case order_outcome::busy:
            this->wait_until(*each, now + this->bounds.busy_poll_period);
            break;
        case order_outcome::unknown:
            each->no_order_before = each->order_deadline + this->bounds.max_order_delay;
            this->wait_until(*each, each->no_order_before);
            break;
        case order_outcome::fenced:
            this->lease.release(now, this->out);
            this->step_down();
            break;
    }
}

auto order_giver::on(engine_unreadable const& notice, base::time_point now) -> void {
    if (auto* const each = this->find_awaiting(notice.upstream, notice.order, stage::reading)) {
        this->wait_until(*each, now + this->bounds.idle_poll_period);
    }
}

auto order_giver::on(drain_in_force const& notice, base::time_point now) -> void {
    auto const found = this->engines.find(notice.upstream);
    if (found != this->engines.end() && found->second.drain_requested) {
        found->second.drain_in_force = true;
        found->second.next_poll = now;
    }
}

auto order_giver::on(store_answered const& notice, base::time_point now) -> void {
    switch (this->lease.handle(notice.answer, now, this->out)) {
        case lease_change::acquired:
            this->take_over(now);
            break;
        case lease_change::written:
            this->on_written(now);
            break;
        case lease_change::lost:
            this->step_down();
            break;
        case lease_change::unrelated:
        case lease_change::unchanged:
            break;
    }
}

auto order_giver::on(tick const& /*notice*/, base::time_point /*now*/) -> void {}

// ---- The lease ----

auto order_giver::take_over(base::time_point now) -> void {
    this->holding_lease = true;
    this->state = this->lease.inherited();
    this->state_changed = false;
    // The predecessor may have just started a load.
    this->next_weight_load = now + base::from_seconds(1 / this->deployment.weight_loads_per_second);
    for (auto& [upstream, each] : this->engines) {
        each.no_order_before = now + this->stale_order_window(each);
        each.next_poll = now;
        each.drain_requested = this->state.drained.contains(upstream);
        if (each.drain_requested) {
            this->out.emplace_back(drain{upstream});
        }
    }
}

// Returns how long to wait before the first order to an engine, so that no order of an earlier
// order giver can still arrive. An order that was given just before the lease was released may be
// sent up to `max_order_delay` later and may take as long again to arrive. An engine that checks
// fencing numbers refuses it only after it has received a newer one; before that it would accept
// both. For an engine that doesn't check them, the wait is at least the whole lease and
// `max_order_delay`, in case the platform granted the new lease too early.
auto order_giver::stale_order_window(engine const& each) const -> base::duration {
    auto const released = 2 * this->bounds.max_order_delay;
    auto const expired = this->bounds.lease_span + this->bounds.max_order_delay;
    return each.declared.checks_fencing ? released : std::max(released, expired);
}

auto order_giver::step_down() -> void {
    this->holding_lease = false;
    for (auto& [upstream, each] : this->engines) {
        each.stage = stage::waiting;
        each.awaits_current_write = false;
        each.drain_requested = false;
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
            each.declared.role != service::upstream_role::plain && !each.declared.leaving;
        if (stays && each.stage == stage::waiting && now >= each.next_poll) {
            this->poll_engine(each);
        }
    }
    this->write_state_if_changed();
}

auto order_giver::poll_engine(engine& each) -> void {
    each.stage = stage::reading;
    each.pending_call = this->next_call_number();
    this->out.emplace_back(read_engine{each.pending_call, each.declared.id});
}

auto order_giver::reconcile(engine& each, std::int64_t running, base::time_point now) -> void {
    auto const desired = this->desired_setup(each);
    if (*each.reported == desired) {
        this->complete_change(each, now);
        return;
    }
    auto const drains = ends_running_work(*each.reported, desired);
    if (drains && !each.drain_requested) {
        this->begin_drain(each, now);
        return;
    }
    if (drains && (!each.drain_in_force || running > 0)) {
        this->wait_until(each, now + this->bounds.busy_poll_period);
        return;
    }
    this->prepare_order(each, now);
}

auto order_giver::complete_change(engine& each, base::time_point now) -> void {
    this->wait_until(each, now + this->bounds.idle_poll_period);
    each.orders_without_success = 0;
    if (!each.drain_requested) {
        return;
    }
    each.drain_requested = false;
    each.drain_in_force = false;
    this->state.drained.erase(each.declared.id);
    this->state_changed = true;
    this->out.emplace_back(end_drain{each.declared.id, each.reported->role});
}

auto order_giver::begin_drain(engine& each, base::time_point now) -> void {
    if (this->drains_in_progress() >= this->max_concurrent_drains()) {
        this->wait_until(each, now + this->bounds.busy_poll_period);
        return;
    }
    each.stage = stage::writing_drain;
    this->state.drained.insert(each.declared.id);
    this->state_changed = true;
}

auto order_giver::prepare_order(engine& each, base::time_point now) -> void {
    each.ordered_setup = this->desired_setup(each);
    auto const loads = loads_weights(*each.reported, each.ordered_setup);
    auto const earliest =
        loads ? std::max(each.no_order_before, this->next_weight_load) : each.no_order_before;
    if (now < earliest) {
        this->wait_until(each, earliest);
        return;
    }
    if (loads) {
        auto const spacing = base::from_seconds(1 / this->deployment.weight_loads_per_second);
        this->next_weight_load = now + spacing;
    }
    each.stage = stage::writing_order;
    this->state_changed = true;
}

auto order_giver::on_written(base::time_point now) -> void {
    for (auto& [upstream, each] : this->engines) {
        if (!std::exchange(each.awaits_current_write, false)) {
            continue;
        }
        if (each.stage == stage::writing_order) {
            this->send_order(each, now);
        } else if (each.stage == stage::writing_drain) {
            each.drain_requested = true;
            this->out.emplace_back(drain{upstream});
            this->wait_until(each, now + this->bounds.busy_poll_period);
        }
    }
}

auto order_giver::send_order(engine& each, base::time_point now) -> void {
    ++each.orders_without_success;
    if (each.orders_without_success > this->bounds.stuck_after) {
        each.orders_without_success = 0;
        this->out.emplace_back(engine_stuck{each.declared.id});
        this->wait_until(each, now + this->bounds.idle_poll_period);
        return;
    }
    each.stage = stage::ordering;
    each.pending_call = this->next_call_number();
    each.order_deadline = std::min(this->lease.deadline(), now + this->bounds.max_order_delay);
    this->out.emplace_back(give_order{each.pending_call, each.declared.id, this->lease.fencing(),
                                      each.ordered_setup, each.order_deadline});
}

auto order_giver::write_state_if_changed() -> void {
    if (!this->state_changed || this->lease.is_writing()) {
        return;
    }
    this->state_changed = false;
    for (auto& [upstream, each] : this->engines) {
        each.awaits_current_write =
            each.stage == stage::writing_drain || each.stage == stage::writing_order;
    }
    this->lease.write(this->state, this->out);
}

auto order_giver::wait_until(engine& each, base::time_point until) -> void {
    each.stage = stage::waiting;
    each.next_poll = until;
}

auto order_giver::find_awaiting(base::upstream_id const& upstream, order_number order,
                                stage expected) -> engine* {
    auto const found = this->engines.find(upstream);
    auto const fits = this->holding_lease && found != this->engines.end() &&
                      found->second.stage == expected && found->second.pending_call == order;
    return fits ? &found->second : nullptr;
}

auto order_giver::next_call_number() -> order_number {
    this->last_call = this->last_call.next();
    return this->last_call;
}

// ---- Desired setup ----

auto order_giver::desired_setup(engine const& each) const -> engine_setup {
    return {this->deployment.model, this->deployment.version, this->deployment.adapters,
            this->desired_role(each)};
}

// Engines that already decode are preferred for the decode role, so that few engines change roles.
auto order_giver::desired_role(engine const& each) const -> service::upstream_role {
    auto const fixed = this->deployment.least_decode == 0 && this->deployment.most_decode == 0;
    if (fixed) {
        return each.declared.role;
    }
    auto ahead = std::int64_t{0};
    auto const decodes = is_decode(current_role(each.reported, each.declared));
    for (auto const& [upstream, other] : this->engines) {
        auto const is_candidate = other.declared.data_centre == each.declared.data_centre &&
                                  other.declared.role != service::upstream_role::plain;
        auto const other_decodes = is_decode(current_role(other.reported, other.declared));
        auto const before = other_decodes == decodes ? upstream < each.declared.id : other_decodes;
        ahead += is_candidate && before ? 1 : 0;
    }
    return ahead < this->desired_decode(each.declared.data_centre)
               ? service::upstream_role::decode
               : service::upstream_role::prefill;
}

auto order_giver::desired_decode(base::data_centre_id const& data_centre) const -> std::int64_t {
    auto all = std::int64_t{0};
    auto declared_decode = std::int64_t{0};
    for (auto const& [upstream, each] : this->engines) {
        if (each.declared.data_centre == data_centre) {
            all += each.declared.role == service::upstream_role::plain ? 0 : 1;
            declared_decode += is_decode(each.declared.role) ? 1 : 0;
        }
    }
    auto const adjusted = this->state.decode.find(data_centre);
    auto const desired = adjusted == this->state.decode.end() ? declared_decode : adjusted->second;
    // Keeps at least one engine for prefill unless `least_decode` requires more for decode.
    auto const most = std::min(this->deployment.most_decode, all - 1);
    return std::max(std::min(desired, most), this->deployment.least_decode);
}

auto order_giver::drains_in_progress() const -> std::size_t {
    auto const changes = [](auto const& each) {
        return each.second.drain_requested || each.second.stage == stage::writing_drain;
    };
    return static_cast<std::size_t>(
        std::count_if(this->engines.begin(), this->engines.end(), changes));
}

auto order_giver::max_concurrent_drains() const -> std::size_t {
    return std::max<std::size_t>(1,
                                 this->engines.size() / this->bounds.engines_per_concurrent_drain);
}

}  // namespace linnetlane::order
