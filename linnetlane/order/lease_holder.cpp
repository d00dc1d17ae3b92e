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
                          std::vector<command>& out) -> lease_news {
    auto const answered = std::visit([](auto const& each) { return each.call; }, answer);
    if (this->keeping == answered) {
        return this->on_kept(answer, now, out);
    }
    if (this->writing == answered) {
        return this->on_written(answer, now, out);
    }
    auto const under_way = this->stage != stage::idle && this->stage != stage::held;
    return under_way && this->step == answered ? this->on_step(answer, now, out)
                                               : lease_news::not_ours;
}

auto lease_holder::run_due(base::time_point now, std::vector<command>& out) -> bool {
    if (this->stage == stage::held && now >= this->ends_at) {
        this->release(now, out);
        return false;
    }
    if (this->stage == stage::idle && this->candidate && now >= this->next_try) {
        this->begin(now, out);
    }
    auto const held = this->stage == stage::held;
    if (held && !this->keeping && now >= this->next_try) {
        this->kept_at = now;
        this->keeping = this->call(coordination::keep_alive{{}, this->lease}, out);
    }
    return held;
}

auto lease_holder::write(order_giver_state const& state, std::vector<command>& out) -> void {
    this->writing =
        this->swap_key(this->modified, {{state_key(this->service), to_value(state)}}, out);
}

auto lease_holder::release(base::time_point now, std::vector<command>& out) -> void {
    if (this->stage != stage::idle && this->lease != coordination::lease_number{}) {
        this->call(coordination::revoke_lease{{}, this->lease}, out);
    }
    this->stage = stage::idle;
    this->keeping.reset();
    this->writing.reset();
    this->lease = {};
    this->next_try = now + this->bounds.lease_retry;
}

auto lease_holder::is_held(base::time_point now) const -> bool {
    return this->stage == stage::held && now < this->ends_at;
}

auto lease_holder::fencing() const -> base::fencing_number {
    return base::fencing_number{this->modified.value};
}

auto lease_holder::next_deadline() const -> base::time_point {
    if (this->stage == stage::held) {
        return this->keeping ? this->ends_at : std::min(this->ends_at, this->next_try);
    }
    auto const waits = this->stage == stage::idle && this->candidate;
    return waits ? this->next_try : base::time_point::max();
}

template <typename Call>
auto lease_holder::call(Call wanted, std::vector<command>& out) -> coordination::call_number {
    this->last_call = this->last_call.next();
    wanted.call = this->last_call;
    out.emplace_back(call_store{std::move(wanted)});
    return this->last_call;
}

auto lease_holder::begin(base::time_point now, std::vector<command>& out) -> void {
    this->stage = stage::granting;
    this->asked_at = now;
    this->step = this->call(coordination::grant_lease{{}, this->bounds.lease_span}, out);
}

auto lease_holder::swap_key(coordination::revision expected,
                            std::vector<coordination::extra_write> extra, std::vector<command>& out)
    -> coordination::call_number {
    auto swap = coordination::compare_and_swap{};
    swap.key = lease_key(this->service);
    swap.expected = expected;
    swap.value = this->writer_name;
    swap.lease = this->lease;
    swap.extra = std::move(extra);
    return this->call(std::move(swap), out);
}

auto lease_holder::on_step(coordination::store_answer const& answer, base::time_point now,
                           std::vector<command>& out) -> lease_news {
    if (auto const* const granted = std::get_if<coordination::lease_granted>(&answer)) {
        this->lease = granted->lease;
        this->ends_at = this->asked_at + granted->span;
        this->stage = stage::swapping;
        this->step = this->swap_key(coordination::revision{}, {}, out);
        return lease_news::none;
    }
    auto const* const swapped = std::get_if<coordination::swap_answer>(&answer);
    if (swapped != nullptr && swapped->swapped) {
        this->modified = swapped->at;
        this->stage = stage::reading;
        this->step = this->call(coordination::read_key{{}, state_key(this->service)}, out);
        return lease_news::none;
    }
    if (auto const* const read = std::get_if<coordination::entries_read>(&answer)) {
        this->found_state = {};
        if (!read->entries.empty()) {
            this->found_state =
                parse_state(read->entries.front().value).value_or(order_giver_state{});
        }
        this->stage = stage::held;
        this->next_try = now;
        return lease_news::taken;
    }
    // Another holds it, or the call failed. A key that was set after all goes with the lease.
    this->release(now, out);
    return lease_news::none;
}

auto lease_holder::on_kept(coordination::store_answer const& answer, base::time_point now,
                           std::vector<command>& out) -> lease_news {
    this->keeping.reset();
    auto const* const kept = std::get_if<coordination::lease_kept>(&answer);
    if (kept == nullptr) {
        this->next_try = now + this->bounds.keep_alive_retry;
        return lease_news::none;
    }
    if (!kept->kept) {
        this->release(now, out);
        return lease_news::lost;
    }
    this->ends_at = std::max(this->ends_at, this->kept_at + this->bounds.lease_span);
    this->next_try = now + this->bounds.keep_alive_period;
    return lease_news::none;
}

auto lease_holder::on_written(coordination::store_answer const& answer, base::time_point now,
                              std::vector<command>& out) -> lease_news {
    this->writing.reset();
    auto const* const swapped = std::get_if<coordination::swap_answer>(&answer);
    if (swapped != nullptr && swapped->swapped) {
        this->modified = swapped->at;
        return lease_news::written;
    }
    // Someone else wrote, or it isn't known what the key holds now: the lease is taken anew.
    this->release(now, out);
    return lease_news::lost;
}

}  // namespace linnetlane::order
