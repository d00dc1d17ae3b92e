// The hosts that can forward requests for this one while it reaches no upstream.
//
//   directory.restart(now);
//   directory.add(host);
//   auto const peer = directory.pick(tried, draw, now);
//   directory.note_unusable(peer->host, now);   // it didn't take the request

#ifndef LINNETLANE_ROUTER_PEER_DIRECTORY_H_
#define LINNETLANE_ROUTER_PEER_DIRECTORY_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
class peer_directory {
public:
    // The list is read again after this time, when it is needed.
    static constexpr auto max_age = std::chrono::seconds{4};
    // How long a host that didn't take a request is skipped.
    static constexpr auto unusable_time = std::chrono::seconds{2};

    // Begins a new list.
    auto restart(base::time_point now) -> void {
        this->peers.clear();
        this->read_at = now;
    }
    // Adds a host, unless it has no address for other hosts.
    auto add(host_entry const& host) -> void {
        if (host.peers) {
            this->peers.insert_or_assign(host.host, host);
        }
    }
    [[nodiscard]] auto is_current(base::time_point now) const -> bool {
        return this->read_at && now - *this->read_at < max_age;
    }
    // Returns a host outside of `tried`, or nothing if none is usable. `draw` from [0, 1) selects
    // it, so that the requests of this host are spread over all others.
    [[nodiscard]] auto pick(std::set<base::host_id> const& tried, double draw,
                            base::time_point now) const -> std::optional<host_entry> {
        auto usable = std::vector<host_entry const*>{};
        for (auto const& [id, host] : this->peers) {
            auto const skipped = this->unusable_until.find(id);
            auto const skips = skipped != this->unusable_until.end() && now < skipped->second;
            if (!skips && !tried.contains(id)) {
                usable.push_back(&host);
            }
        }
        if (usable.empty()) {
            return std::nullopt;
        }
        auto const index = static_cast<std::size_t>(draw * static_cast<double>(usable.size()));
        return *usable[std::min(index, usable.size() - 1)];
    }
    // Records that a host didn't take a request.
    auto note_unusable(base::host_id const& host, base::time_point now) -> void {
        this->unusable_until[host] = now + unusable_time;
    }

private:
    std::map<base::host_id, host_entry> peers;
    std::map<base::host_id, base::time_point> unusable_until;
    std::optional<base::time_point> read_at;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_PEER_DIRECTORY_H_
