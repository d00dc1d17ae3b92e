// The platform's key-value service in memory, for tests of code that performs no I/O. Answers
// at once; tests simulate the loss and delay of calls and answers themselves.

#ifndef LINNETLANE_COORDINATION_FAKE_STORE_H_
#define LINNETLANE_COORDINATION_FAKE_STORE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/coordination/store.h"

namespace linnetlane::coordination {

// Thread-compatible. A copy is a backup: assign it back to restore the store from it.
class fake_store {
public:
    // Runs a call and returns its answer; `nullopt` for `watch_prefix`, `stop_watch` and
    // `revoke_lease`. Tests read the changes of a watch with `changes`.
    auto run(store_call const& call, base::time_point now) -> std::optional<store_answer> {
        this->expire(now);
        return std::visit([&](auto const& each) { return this->answer(each, now); }, call);
    }
    // Sets a key or, with an empty value, removes it, without any condition.
    auto put(std::string const& key, std::string const& value) -> void {
        this->last_revision = this->last_revision.next();
        this->log.push_back({key, value, this->last_revision});
        if (value.empty()) {
            this->keys.erase(key);
        } else {
            this->keys[key] = {key, value, this->last_revision};
        }
    }
    // The writes of keys that begin with `prefix` from revision `first` on, in order.
    [[nodiscard]] auto changes(std::string_view prefix, revision first) const
        -> std::vector<entry> {
        auto found = std::vector<entry>{};
        for (auto const& each : this->log) {
            if (each.modified >= first && each.key.starts_with(prefix)) {
                found.push_back(each);
            }
        }
        return found;
    }
    [[nodiscard]] auto find(std::string const& key) const -> entry const* {
        auto const found = this->keys.find(key);
        return found == this->keys.end() ? nullptr : &found->second;
    }
    [[nodiscard]] auto current_revision() const -> revision { return this->last_revision; }
    // Removes the keys of leases that have ended.
    auto expire(base::time_point now) -> void {
        for (auto& [number, lease] : this->leases) {
            if (lease.deadline <= now) {
                for (auto const& key : std::exchange(lease.keys, {})) {
                    this->put(key, "");
                }
            }
        }
        std::erase_if(this->leases, [&](auto const& each) { return each.second.deadline <= now; });
    }

private:
    struct lease_state {
        base::duration span{};
        base::time_point deadline;
        std::vector<std::string> keys;
    };

    auto answer(read_key const& call, base::time_point /*now*/) -> std::optional<store_answer> {
        auto read = entries_read{call.call, {}, this->last_revision};
        if (auto const* const found = this->find(call.key)) {
            read.entries.push_back(*found);
        }
        return read;
    }
    auto answer(read_prefix const& call, base::time_point /*now*/) -> std::optional<store_answer> {
        auto read = entries_read{call.call, {}, this->last_revision};
        for (auto const& [key, found] : this->keys) {
            if (key.starts_with(call.prefix)) {
                read.entries.push_back(found);
            }
        }
        return read;
    }
    auto answer(compare_and_swap const& call, base::time_point /*now*/)
        -> std::optional<store_answer> {
        auto const* const found = this->find(call.key);
        auto const last = found == nullptr ? revision{} : found->modified;
        auto const lease_is_valid = !call.lease || this->leases.contains(*call.lease);
        if (last != call.expected || !lease_is_valid) {
            auto const current = found == nullptr ? std::nullopt : std::optional{*found};
            return swap_answer{call.call, false, this->last_revision, current};
        }
        this->put(call.key, call.value);
        auto const at = this->last_revision;
        for (auto const& extra : call.extra) {
            this->put(extra.key, extra.value.value_or(""));
        }
        if (call.lease) {
            this->leases[*call.lease].keys.push_back(call.key);
        }
        return swap_answer{call.call, true, at, std::nullopt};
    }
    auto answer(grant_lease const& call, base::time_point now) -> std::optional<store_answer> {
        this->last_lease = this->last_lease.next();
        this->leases[this->last_lease] = {call.span, now + call.span, {}};
        return lease_granted{call.call, this->last_lease, call.span};
    }
    auto answer(keep_alive const& call, base::time_point now) -> std::optional<store_answer> {
        auto const found = this->leases.find(call.lease);
        if (found == this->leases.end()) {
            return lease_kept{call.call, false};
        }
        found->second.deadline = now + found->second.span;
        return lease_kept{call.call, true};
    }
    auto answer(revoke_lease const& call, base::time_point now) -> std::optional<store_answer> {
        auto const found = this->leases.find(call.lease);
        if (found != this->leases.end()) {
            found->second.deadline = now;
            this->expire(now);
        }
        return std::nullopt;
    }
    auto answer(watch_prefix const& /*call*/, base::time_point /*now*/)
        -> std::optional<store_answer> {
        return std::nullopt;
    }
    auto answer(stop_watch const& /*call*/, base::time_point /*now*/)
        -> std::optional<store_answer> {
        return std::nullopt;
    }

    std::map<std::string, entry> keys;
    std::vector<entry> log;
    std::map<lease_number, lease_state> leases;
    lease_number last_lease;
    revision last_revision;
};

}  // namespace linnetlane::coordination

#endif  // LINNETLANE_COORDINATION_FAKE_STORE_H_
