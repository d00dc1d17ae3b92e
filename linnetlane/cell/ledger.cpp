#include "linnetlane/cell/ledger.h"

#include <algorithm>

namespace linnetlane::cell {

auto ledger::ensure_account(upstream_index upstream) -> void {
    if (this->accounts.size() <= upstream) {
        this->accounts.resize(upstream + 1);
    }
}

auto ledger::insert(record const& entry) -> record& {
    auto& added = this->records.emplace(entry.attempt, entry).first->second;
    added.serial = this->next_serial;
    this->next_serial += 1;
    this->add_to_account(added);
    this->wake_order.emplace(std::pair{added.wake, added.serial}, &added);
    return added;
}

auto ledger::find(attempt const& key) -> record* {
    auto const found = this->records.find(key);
    return found == this->records.end() ? nullptr : &found->second;
}

auto ledger::make_held(record& entry, upstream_index decode) -> void {
    this->remove_from_account(entry);
    entry.state = record_state::held;
    entry.decode = decode;
    this->add_to_account(entry);
}

auto ledger::move_booking(record& entry, upstream_index decode) -> void {
    this->remove_from_account(entry);
    entry.decode = decode;
    this->add_to_account(entry);
}

auto ledger::make_aborting(record& entry) -> void {
    this->remove_from_account(entry);
    auto const held = entry.state == record_state::held;
    entry.uses_pieces = held;
    entry.state = record_state::aborting;
    this->add_to_account(entry);
}

auto ledger::free_pieces(record& entry) -> void {
    this->remove_from_account(entry);
    this->add_to_account(entry);
}

auto ledger::erase(record& entry) -> void {
    this->remove_from_account(entry);
    this->wake_order.erase({entry.wake, entry.serial});
    this->records.erase(attempt{entry.attempt});
}

auto ledger::schedule_wake(record& entry, base::time_point wake) -> void {
    this->wake_order.erase({entry.wake, entry.serial});
    entry.wake = wake;
    this->wake_order.emplace(std::pair{wake, entry.serial}, &entry);
}

auto ledger::next() const -> record* {
    return this->wake_order.empty() ? nullptr : this->wake_order.begin()->second;
}

auto ledger::attempts_of(base::host_id const& host, base::incarnation incarnation) const
    -> std::vector<attempt> {
    auto found = std::vector<attempt>{};
    for (auto const& [key, entry] : this->records) {
        auto const older = entry.holder.incarnation <= incarnation;
        if (entry.holder.host == host && older && entry.state != record_state::aborting) {
            found.push_back(key);
        }
    }
    std::sort(found.begin(), found.end());
    return found;
}

auto ledger::add_to_account(record& entry) -> void {
    auto& sums = this->accounts[entry.decode];
    if (entry.state == record_state::booked) {
        sums.booked += entry.pieces;
        sums.bookings += 1;
    } else if (entry.state == record_state::held || entry.uses_pieces) {
        entry.uses_pieces = true;
        sums.used += entry.pieces;
        sums.announced += entry.announced ? entry.pieces : base::piece_count{0};
        sums.running += 1;
    }
    sums.records.push_back(&entry);
}

auto ledger::remove_from_account(record& entry) -> void {
    auto& sums = this->accounts[entry.decode];
    if (entry.state == record_state::booked) {
        sums.booked -= entry.pieces;
        sums.bookings -= 1;
    } else if (entry.uses_pieces) {
        sums.used -= entry.pieces;
        sums.announced -= entry.announced ? entry.pieces : base::piece_count{0};
        sums.running -= 1;
        entry.uses_pieces = false;
    }
    auto const place = std::find(sums.records.begin(), sums.records.end(), &entry);
    *place = sums.records.back();
    sums.records.pop_back();
}

}  // namespace linnetlane::cell
