#include "linnetlane/daemon/instance_watch.h"

#include <optional>
#include <utility>

#include "linnetlane/base/result.h"

namespace linnetlane::daemon {

namespace {

// Timeout of one poll.
constexpr auto poll_timeout = std::chrono::milliseconds{400};

}  // namespace

instance_watch::instance_watch(runtime::worker_pool& own_pool, base::host_id this_host,
                               broadcast_leaving own_broadcast)
    : pool(&own_pool), self(std::move(this_host)), broadcast(std::move(own_broadcast)) {}

auto instance_watch::update_directory(directory_pointer const& directory) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->wanted.clear();
    for (auto const& [key, entry] : directory->cells) {
        auto const plain = entry.document->kind == service::service_kind::plain;
        if (!plain || !entry.keeper || entry.keeper->host != this->self) {
            continue;
        }
        for (auto const& upstream : entry.upstreams) {
            auto const instance = instance_key{key.service, upstream.id};
            this->wanted[instance] = upstream.address;
            if (!std::exchange(this->watched[instance], true)) {
                this->watch(instance);
            }
        }
    }
}

// Requires `mutex` to be held.
auto instance_watch::watch(instance_key const& key) -> void {
    this->pool->spawn([this, key] {
        while (auto const address = this->address_or_stop_watching(key)) {
            this->poll(key, *address);
            runtime::sleep_until(base::monotonic_clock::now() + instance_poll_interval);
        }
    });
}

// Returns the address to poll, or nothing if the instance need no longer be polled; its entry in
// `watched` is then removed.
auto instance_watch::address_or_stop_watching(instance_key const& key)
    -> std::optional<base::endpoint> {
    auto const lock = std::lock_guard{this->mutex};
    auto const found = this->wanted.find(key);
    if (found == this->wanted.end()) {
        this->watched.erase(key);
        return std::nullopt;
    }
    return found->second;
}

auto instance_watch::poll(instance_key const& key, base::endpoint const& address) -> void {
    auto const answer = this->client.load(address, base::monotonic_clock::now() + poll_timeout);
    if (base::succeeded(answer) && base::value_of(answer).leaving) {
        this->broadcast(protocol::leaving_marks{key.first, {key.second}});
    }
}

}  // namespace linnetlane::daemon
