#include "linnetlane/daemon/keeper_table.h"

#include <atomic>
#include <set>
#include <utility>

#include "linnetlane/base/result.h"
#include "linnetlane/daemon/ticker.h"

namespace linnetlane::daemon {

namespace {

// Timeout of one poll of an engine.
constexpr auto poll_timeout = std::chrono::milliseconds{400};
// Timeout of an engine's confirmation of an abort; the scheduler retries.
constexpr auto abort_timeout = std::chrono::seconds{1};
// Number of consecutive failed polls after which an engine counts as unreachable.
constexpr auto failures_until_unreachable = 2;

auto configuration_of(cell_entry const& entry) -> cell::configure {
    return {entry.document->shape, entry.document->targets, entry.document->policy,
            entry.document->callers, entry.upstreams};
}

}  // namespace

// One kept cell. Destroyed once this host stops keeping it; its polling fibers then end.
struct keeper_table::cell_state : std::enable_shared_from_this<cell_state> {
    cell_state(runtime::worker_pool& own_pool, cell_entry const& entry,
               cell::placement_policy const& policy, keeper_hooks const& own_hooks)
        : pool(own_pool),
          hooks(own_hooks),
          key(entry.key),
          scheduler(
              cell::scheduler_options{policy, base::monotonic_clock::now() + announce_window}) {}

    runtime::worker_pool& pool;
    keeper_hooks hooks;
    protocol::cell_key key;
    upstream::completions_engine engine;
    std::atomic<bool> dropped = false;

    mutable std::mutex mutex;
    // Guarded by `mutex`, as are all members below.
    cell::scheduler scheduler;
    document_pointer document;
    std::map<base::upstream_id, base::endpoint> addresses;
    std::set<base::upstream_id> polled;
    std::unique_ptr<ticker> timer;

    auto start() -> void {
        auto const weak = this->weak_from_this();
        auto const step = [weak] {
            auto const self = weak.lock();
            return self ? self->tick() : base::time_point::max();
        };
        this->timer = std::make_unique<ticker>(this->pool, step);
    }

    auto tick() -> base::time_point {
        auto const lock = std::lock_guard{this->mutex};
        this->run(cell::tick{});
        return this->scheduler.next_deadline().value_or(base::time_point::max());
    }

    auto handle(cell::event const& event) -> void {
        auto const lock = std::lock_guard{this->mutex};
        this->run(event);
        if (auto const deadline = this->scheduler.next_deadline()) {
            this->timer->wake_by(*deadline);
        }
    }

    auto configure(cell_entry const& entry) -> void {
        {
            auto const lock = std::lock_guard{this->mutex};
            if (this->document == entry.document) {
                return;
            }
            this->document = entry.document;
            this->addresses.clear();
            for (auto const& upstream : entry.upstreams) {
                this->addresses[upstream.id] = upstream.address;
                this->poll(upstream.id);
            }
        }
        this->handle(configuration_of(entry));
    }

    // Requires `mutex` to be held.
    auto run(cell::event const& event) -> void {
        for (auto const& command : this->scheduler.handle(event, base::monotonic_clock::now())) {
            std::visit([this](auto const& what) { this->perform(what); }, command);
        }
    }

    template <typename Reply>
    auto perform(Reply const& reply) -> void {
        this->hooks.reply(reply.holder, protocol::reply_from_cell{this->key, reply});
    }

    auto perform(cell::abort const& command) -> void {
        auto const address = this->addresses.find(command.upstream);
        if (address == this->addresses.end()) {
            return;
        }
        auto const to = address->second;
        this->pool.spawn([self = this->shared_from_this(), command, to] {
            auto const deadline = base::monotonic_clock::now() + abort_timeout;
            if (self->engine.abort(to, command.attempt, deadline)) {
                self->handle(cell::aborted{command.upstream, command.attempt});
            }
        });
    }

    // Starts a fiber that polls the engine as long as it belongs to the cell, unless one is
    // running. Requires `mutex` to be held.
    auto poll(base::upstream_id const& upstream) -> void {
        if (!this->polled.insert(upstream).second) {
            return;
        }
        this->pool.spawn([weak = this->weak_from_this(), upstream] {
            auto poller = engine_poller{upstream};
            while (auto const self = weak.lock()) {
                if (self->dropped || !self->poll_once(poller)) {
                    return;
                }
                poller.next_poll += load_interval;
                runtime::sleep_until(poller.next_poll);
            }
        });
    }

    struct engine_poller {
        base::upstream_id upstream;
        base::time_point next_poll = base::monotonic_clock::now();
        base::time_point next_cache_poll = base::monotonic_clock::now();
        std::uint64_t last_change = 0;
        int consecutive_failures = 0;
    };

    // Returns false once the engine no longer belongs to the cell.
    auto poll_once(engine_poller& poller) -> bool {
        auto const address = this->address_of(poller.upstream);
        if (!address) {
            return false;
        }
        auto const now = base::monotonic_clock::now();
        poller.next_poll = std::max(poller.next_poll, now);
        this->poll_load(poller, *address);
        if (now >= poller.next_cache_poll) {
            poller.next_cache_poll = now + cache_interval;
            this->poll_cache(poller, *address);
        }
        return true;
    }

    auto address_of(base::upstream_id const& upstream) -> std::optional<base::endpoint> {
        auto const lock = std::lock_guard{this->mutex};
        auto const found = this->addresses.find(upstream);
        if (found == this->addresses.end()) {
            this->polled.erase(upstream);
            return std::nullopt;
        }
        return found->second;
    }

    auto poll_load(engine_poller& poller, base::endpoint const& address) -> void {
        auto const deadline = base::monotonic_clock::now() + poll_timeout;
        auto const answer = this->engine.load(address, deadline);
        if (!base::succeeded(answer)) {
            ++poller.consecutive_failures;
            if (poller.consecutive_failures == failures_until_unreachable) {
                this->handle(cell::upstream_reachable{poller.upstream, false});
            }
            return;
        }
        if (poller.consecutive_failures >= failures_until_unreachable) {
            this->handle(cell::upstream_reachable{poller.upstream, true});
        }
        poller.consecutive_failures = 0;
        auto const& load = base::value_of(answer);
        this->handle(cell::upstream_report{poller.upstream, load.pieces_used, load.running,
                                           load.waiting, load.leaving});
    }

    auto poll_cache(engine_poller& poller, base::endpoint const& address) -> void {
        auto const deadline = base::monotonic_clock::now() + poll_timeout;
        auto const answer = this->engine.cache_changes(address, poller.last_change, deadline);
        if (!base::succeeded(answer)) {
            return;
        }
        for (auto const& change : base::value_of(answer)) {
            poller.last_change = std::max(poller.last_change, change.sequence);
            this->handle(
                cell::cache_event{poller.upstream, change.sequence, change.stored, change.evicted});
        }
    }
};

struct keeper_table::state {
    state(runtime::worker_pool& own_pool, base::host_id this_host,
          cell::placement_policy const& own_policy, keeper_hooks own_hooks)
        : pool(own_pool),
          self(std::move(this_host)),
          policy(own_policy),
          hooks(std::move(own_hooks)) {}

    runtime::worker_pool& pool;
    base::host_id self;
    cell::placement_policy policy;
    keeper_hooks hooks;
    mutable std::mutex mutex;
    // Guarded by `mutex`.
    std::map<protocol::cell_key, std::shared_ptr<cell_state>> cells;

    auto is_kept_here(cell_entry const& entry) const -> bool {
        return entry.keeper && entry.keeper->host == this->self &&
               entry.document->kind == service::service_kind::model;
    }

    // Requires `mutex` to be held.
    auto drop_others(cell_directory const& directory) -> void {
        for (auto next = this->cells.begin(); next != this->cells.end();) {
            auto const* const entry = directory.find(next->first);
            if (entry != nullptr && this->is_kept_here(*entry)) {
                ++next;
                continue;
            }
            next->second->dropped = true;
            next = this->cells.erase(next);
        }
    }

    // Requires `mutex` to be held.
    auto find_or_create(cell_entry const& entry) -> std::shared_ptr<cell_state> {
        auto& kept = this->cells[entry.key];
        if (!kept) {
            kept = std::make_shared<cell_state>(this->pool, entry, this->policy, this->hooks);
            kept->start();
        }
        return kept;
    }

    auto find(protocol::cell_key const& key) const -> std::shared_ptr<cell_state> {
        auto const lock = std::lock_guard{this->mutex};
        auto const found = this->cells.find(key);
        return found == this->cells.end() ? nullptr : found->second;
    }

    auto all() const -> std::vector<std::shared_ptr<cell_state>> {
        auto const lock = std::lock_guard{this->mutex};
        auto found = std::vector<std::shared_ptr<cell_state>>{};
        for (auto const& [key, kept] : this->cells) {
            found.push_back(kept);
        }
        return found;
    }
};

namespace {

// Converts a holder's request to the scheduler's event and fills in the holder.
struct to_event {
    cell::holder const& holder;

    auto operator()(cell::acquire question) const -> cell::event {
        question.holder = this->holder;
        return question;
    }
    auto operator()(protocol::numbered_renew question) const -> cell::event {
        question.renew.holder = this->holder;
        return std::move(question.renew);
    }
    auto operator()(cell::release question) const -> cell::event {
        question.holder = this->holder;
        return question;
    }
    auto operator()(cell::announce question) const -> cell::event {
        question.holder = this->holder;
        return question;
    }
};

}  // namespace

keeper_table::keeper_table(runtime::worker_pool& pool, base::host_id self,
                           cell::placement_policy const& policy, keeper_hooks hooks)
    : shared(std::make_shared<state>(pool, std::move(self), policy, std::move(hooks))) {}

auto keeper_table::update_directory(directory_pointer const& directory) -> void {
    for (auto const& [key, entry] : directory->cells) {
        if (!this->shared->is_kept_here(entry)) {
            continue;
        }
        auto kept = std::shared_ptr<cell_state>{};
        {
            auto const lock = std::lock_guard{this->shared->mutex};
            kept = this->shared->find_or_create(entry);
        }
        kept->configure(entry);
    }
    auto const lock = std::lock_guard{this->shared->mutex};
    this->shared->drop_others(*directory);
}

auto keeper_table::handle_question(cell::holder const& holder,
                                   protocol::request_to_cell const& question) -> void {
    auto const kept = this->shared->find(question.cell);
    if (!kept || !this->shared->hooks.may_act()) {
        this->shared->hooks.reply(holder,
                                  protocol::reply_from_cell{question.cell, protocol::not_keeper{}});
        return;
    }
    kept->handle(std::visit(to_event{holder}, question.request));
    if (auto const* const renew = std::get_if<protocol::numbered_renew>(&question.request)) {
        auto const taken = protocol::renewals_accepted{renew->round};
        this->shared->hooks.reply(holder, protocol::reply_from_cell{question.cell, taken});
    }
}

auto keeper_table::forget_holder(cell::holder const& holder) -> void {
    for (auto const& kept : this->shared->all()) {
        kept->handle(cell::holder_gone{holder});
    }
}

auto keeper_table::kept() const -> std::vector<kept_cell> {
    auto snapshots = std::vector<kept_cell>{};
    for (auto const& kept : this->shared->all()) {
        auto const lock = std::lock_guard{kept->mutex};
        snapshots.push_back({kept->key, kept->scheduler.snapshot()});
    }
    return snapshots;
}

}  // namespace linnetlane::daemon
