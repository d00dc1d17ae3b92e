#include "linnetlane/order/lease_holder.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace linnetlane::order {

lease_holder::lease_holder(base::service_id served, limits limits_in_force, std::string writer)
    : service(std::move(served)), bounds(limits_in_force), writer_name(std::move(writer)) {}

auto lease_holder::set_candidate(bool wanted, base::time_point now, std::vector<command>& out)
    -> void {
    if (this->candidate && !wanted) {
        this->release(now, out);
    }
    this->candidate = wanted;
}

auto lease_holder::handle(coordination::store_answer const& answer, base::time_point now,
                          std::vector<command>& out) -> lease_change {
    auto const answered = std::visit([](auto const& each) { return each.call; }, answer);
    if (this->pending_keep_alive == answered) {
        return this->on_keep_alive(answer, now, out);
    }
    if (this->pending_write == answered) {
        return this->on_written(answer, now, out);
    }
    auto const under_way = this->stage != stage::idle && this->stage != stage::held;
    return under_way && this->pending_step == answered ? this->on_acquire_step(answer, now, out)
                                                       : lease_change::unrelated;
}

auto lease_holder::run_due(base::time_point now, std::vector<command>& out) -> bool {
    if (this->stage == stage::held && now >= this->expires_at) {
        this->release(now, out);
        return false;
    }
    if (this->stage == stage::idle && this->candidate && now >= this->next_call_at) {
        this->begin_acquiring(now, out);
    }
    auto const held = this->stage == stage::held;
    if (held && !this->pending_keep_alive && now >= this->next_call_at) {
        this->keep_alive_sent_at = now;
        this->pending_keep_alive = this->call(coordination::keep_alive{{}, this->lease}, out);
    }
    return held;
}

auto lease_holder::write(order_giver_state const& state, std::vector<command>& out) -> void {
    this->pending_write = this->compare_and_swap_key(
        this->last_revision, {{state_key(this->service), to_value(state)}}, out);
}

auto lease_holder::release(base::time_point now, std::vector<command>& out) -> void {
    if (this->stage != stage::idle && this->lease != coordination::lease_number{}) {
        this->call(coordination::revoke_lease{{}, this->lease}, out);
    }
    this->stage = stage::idle;
    this->pending_keep_alive.reset();
    this->pending_write.reset();
    this->lease = {};
    this->next_call_at = now + this->bounds.lease_retry;
}

auto lease_holder::is_held(base::time_point now) const -> bool {
    return this->stage == stage::held && now < this->expires_at;
}

auto lease_holder::fencing() const -> base::fencing_number {
    return base::fencing_number{this->last_revision.value};
}

auto lease_holder::next_deadline() const -> base::time_point {
    if (this->stage == stage::held) {
        return this->pending_keep_alive ? this->expires_at
                                        : std::min(this->expires_at, this->next_call_at);
    }
    auto const waits = this->stage == stage::idle && this->candidate;
    return waits ? this->next_call_at : base::time_point::max();
}

template <typename Call>
auto lease_holder::call(Call wanted, std::vector<command>& out) -> coordination::call_number {
    this->last_call = this->last_call.next();
    wanted.call = this->last_call;
    out.emplace_back(call_store{std::move(wanted)});
    return this->last_call;
}

auto lease_holder::begin_acquiring(base::time_point now, std::vector<command>& out) -> void {
    this->stage = stage::granting;
    this->grant_sent_at = now;
    this->pending_step = this->call(coordination::grant_lease{{}, this->bounds.lease_span}, out);
}

auto lease_holder::compare_and_swap_key(coordination::revision expected,
                                        std::vector<coordination::extra_write> extra,
                                        std::vector<command>& out) -> coordination::call_number {
    auto swap = coordination::compare_and_swap{};
    swap.key = lease_key(this->service);
    swap.expected = expected;
    swap.value = this->writer_name;
    swap.lease = this->lease;
    swap.extra = std::move(extra);
    return this->call(std::move(swap), out);
}

auto lease_holder::on_acquire_step(coordination::store_answer const& answer, base::time_point now,
                                   std::vector<command>& out) -> lease_change {
    if (auto const* const granted = std::get_if<coordination::lease_granted>(&answer)) {
        this->lease = granted->lease;
        this->expires_at = this->grant_sent_at + granted->span;
        this->stage = stage::swapping;
        this->pending_step = this->compare_and_swap_key(coordination::revision{}, {}, out);
        return lease_change::unchanged;
    }
    auto const* const swapped = std::get_if<coordination::swap_answer>(&answer);
    if (swapped != nullptr && swapped->swapped) {
        this->last_revision = swapped->at;
        this->stage = stage::reading;
        this->pending_step = this->call(coordination::read_key{{}, state_key(this->service)}, out);
        return lease_change::unchanged;
    }
    if (auto const* const read = std::get_if<coordination::entries_read>(&answer)) {
        this->inherited_state = {};
        if (!read->entries.empty()) {
            this->inherited_state =
                parse_state(read->entries.front().value).value_or(order_giver_state{});
        }
        this->stage = stage::held;
        this->next_call_at = now;
        return lease_change::acquired;
    }
    // Another host holds the lease, or the call failed. If the key was set nevertheless, the
    // revocation of the lease deletes it.
    this->release(now, out);
    return lease_change::unchanged;
}

auto lease_holder::on_keep_alive(coordination::store_answer const& answer, base::time_point now,
                                 std::vector<command>& out) -> lease_change {
    this->pending_keep_alive.reset();
    auto const* const kept = std::get_if<coordination::lease_kept>(&answer);
    if (kept == nullptr) {
        this->next_call_at = now + this->bounds.keep_alive_retry;
        return lease_change::unchanged;
    }
    if (!kept->kept) {
        this->release(now, out);
        return lease_change::lost;
    }
    this->expires_at =
        std::max(this->expires_at, this->keep_alive_sent_at + this->bounds.lease_span);
    this->next_call_at = now + this->bounds.keep_alive_period;
    return lease_change::unchanged;
}

auto lease_holder::on_written(coordination::store_answer const& answer, base::time_point now,
                              std::vector<command>& out) -> lease_change {
    this->pending_write.reset();
    auto const* const swapped = std::get_if<coordination::swap_answer>(&answer);
    if (swapped != nullptr && swapped->swapped) {
        this->last_revision = swapped->at;
        return lease_change::written;
    }
    // Another host wrote the key, or its value is unknown: the lease must be acquired again.
    this->release(now, out);
    return lease_change::lost;
}

}  // namespace linnetlane::order
