#include "linnetlane/document/reader.h"

#include <algorithm>
#include <map>
#include <string>
#include <variant>

#include "linnetlane/base/result.h"
#include "linnetlane/document/stored_value.h"

namespace linnetlane::document {

auto reader::set_active(bool should_read, base::time_point now, outbox& out) -> void {
    if (should_read == this->active) {
        return;
    }
    this->active = should_read;
    if (should_read) {
        this->next_read = now;
        return;
    }
    this->next_read = base::time_point::max();
    if (this->watching) {
        out.call(coordination::stop_watch{*this->watching});
        this->watching.reset();
    }
}

auto reader::handle(coordination::store_answer const& answer, base::time_point now,
                    acceptor& versions, random_generator& random, outbox& out) -> bool {
    auto const is = [](std::optional<coordination::call_number> const& own,
                       coordination::call_number call) { return own && *own == call; };
    return std::visit(
        base::overloaded{
            [&](coordination::entries_read const& read) {
                if (!is(this->reading, read.call)) {
                    return false;
                }
                this->on_read(read, now, versions, random, out);
                return true;
            },
            [&](coordination::watch_changes const& changes) {
                if (!is(this->watching, changes.call)) {
                    return false;
                }
                this->on_changes(changes, now, versions, random, out);
                return true;
            },
            [&](coordination::swap_answer const& swap) {
                auto const same = [&](auto const& each) { return each.second == swap.call; };
                if (std::none_of(this->writing_back.begin(), this->writing_back.end(), same)) {
                    return false;
                }
                this->on_written_back(swap, now, random);
                return true;
            },
            [&](coordination::watch_ended const& ended) {
                return this->on_call_lost(ended.call, now, random);
            },
            [&](coordination::call_failed const& failed) {
                return this->on_call_lost(failed.call, now, random);
            },
            [](auto const& /*other*/) { return false; },
        },
        answer);
}

auto reader::run_due(base::time_point now, outbox& out) -> void {
    if (!this->active || this->reading || now < this->next_read) {
        return;
    }
    this->reading = out.call(coordination::read_prefix{{}, std::string{current_prefix}});
}

auto reader::next_deadline() const -> base::time_point {
    return this->reading ? base::time_point::max() : this->next_read;
}

auto reader::on_read(coordination::entries_read const& answer, base::time_point now,
                     acceptor& versions, random_generator& random, outbox& out) -> void {
    this->reading.reset();
    this->read_once = true;
    this->retries.reset();
    for (auto const& entry : answer.entries) {
        this->accept_entry(entry, versions, out);
    }
    this->write_back_newer(answer, versions, out);
    if (!this->active) {
        return;
    }
    this->next_read = now + jittered(reread_period, random);
    this->watch_from(answer.at, out);
}

// Restarts the watch if the store's revision went back, since the store was restored from a backup:
// an existing watch would report nothing until the old revision is reached again.
auto reader::watch_from(coordination::revision at, outbox& out) -> void {
    if (this->watching && at < this->last_read_at) {
        out.call(coordination::stop_watch{*this->watching});
        this->watching.reset();
    }
    this->last_read_at = at;
    if (!this->watching) {
        this->watching =
            out.call(coordination::watch_prefix{{}, std::string{current_prefix}, at.next()});
    }
}

auto reader::on_changes(coordination::watch_changes const& answer, base::time_point now,
                        acceptor& versions, random_generator& random, outbox& out) -> void {
    for (auto const& entry : answer.changed) {
        this->accept_entry(entry, versions, out);
        auto const service = service_of_key(entry.key);
        auto const* const local = service ? versions.table().find(*service) : nullptr;
        if (local != nullptr && entry.value != to_value(*local)) {
            // The event is delayed, or the platform went back to an older version; a read tells
            // which.
            this->next_read = std::min(this->next_read, now + jittered(recheck_delay, random));
        }
    }
}

auto reader::on_written_back(coordination::swap_answer const& answer, base::time_point now,
                             random_generator& random) -> void {
    std::erase_if(this->writing_back, [&](auto const& each) { return each.second == answer.call; });
    if (!answer.swapped) {
        this->next_read = std::min(this->next_read, now + jittered(recheck_delay, random));
    }
}

auto reader::on_call_lost(coordination::call_number call, base::time_point now,
                          random_generator& random) -> bool {
    auto const same = [&](auto const& each) { return each.second == call; };
    if (std::erase_if(this->writing_back, same) > 0) {
        // The next read shows whether the write took effect.
        this->next_read = std::min(this->next_read, this->retries.next_attempt(now, random));
        return true;
    }
    if (this->reading == call) {
        this->reading.reset();
    } else if (this->watching == call) {
        this->watching.reset();
    } else {
        return false;
    }
    if (this->active) {
        this->next_read = this->retries.next_attempt(now, random);
    }
    return true;
}

auto reader::accept_entry(coordination::entry const& found, acceptor& versions, outbox& out)
    -> void {
    auto const service = service_of_key(found.key);
    if (!service || found.value.empty()) {
        return;
    }
    if (auto const parsed = parse_value(*service, found.value)) {
        versions.accept(*parsed, out);
    } else {
        versions.report_invalid(
            *service, validation_error{"the stored value was not written by an apply"}, out);
    }
}

auto reader::write_back_newer(coordination::entries_read const& answer, acceptor const& versions,
                              outbox& out) -> void {
    auto present = std::map<std::string, coordination::entry const*>{};
    for (auto const& entry : answer.entries) {
        present[entry.key] = &entry;
    }
    for (auto const& [service, local] : versions.table().all()) {
        auto const found = present.find(current_key(service));
        if (found == present.end()) {
            this->write_back(local, coordination::revision{}, out);
            continue;
        }
        auto const& entry = *found->second;
        auto const stored = parse_value(service, entry.value);
        if (stored && is_newer(id_of(local), id_of(*stored))) {
            this->write_back(local, entry.modified, out);
        }
    }
}

auto reader::write_back(version const& local, coordination::revision expected, outbox& out)
    -> void {
    if (!this->active || this->writing_back.contains(local.service)) {
        return;
    }
    auto swap = coordination::compare_and_swap{};
    swap.key = current_key(local.service);
    swap.expected = expected;
    swap.value = to_value(local);
    swap.extra = history_writes(local);
    this->writing_back[local.service] = out.call(std::move(swap));
}

}  // namespace linnetlane::document
