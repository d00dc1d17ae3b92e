// Selects the host that this host follows for changes of the registry: the first one of its data
// centre by name that has not failed recently. The first host itself reads the registry.

#ifndef LINNETLANE_ROUTER_RELAY_SELECTOR_H_
#define LINNETLANE_ROUTER_RELAY_SELECTOR_H_

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only.
class relay_selector {
public:
    // How long a host that failed is skipped, so that a crashed host causes few failed calls until
    // it is removed from the list of hosts.
    static constexpr auto failure_cooldown = std::chrono::seconds{2};

    relay_selector(base::host_id own_host, base::data_centre_id own_data_centre)
        : self{std::move(own_host)}, data_centre{std::move(own_data_centre)} {}

    // Replaces the list of hosts.
    auto set_hosts(std::vector<host_entry> hosts) -> void {
        std::ranges::sort(hosts, {}, &host_entry::host);
        this->listed = std::move(hosts);
    }
    // Returns the host to follow, or nothing if this host has to read the registry.
    [[nodiscard]] auto choose(base::time_point now) const -> std::optional<host_entry> {
        for (auto const& each : this->listed) {
            if (each.host == this->self) {
                return std::nullopt;
            }
            auto const found = this->excluded_until.find(each.host);
            auto const failed = found != this->excluded_until.end() && now < found->second;
            if (each.data_centre == this->data_centre && each.peers && !failed) {
                return each;
            }
        }
        return std::nullopt;
    }
    // Records that a followed host did not provide changes.
    auto note_failure(base::host_id const& host, base::time_point now) -> void {
        this->excluded_until[host] = now + failure_cooldown;
    }

private:
    base::host_id self;
    base::data_centre_id data_centre;
    // Sorted by name.
    std::vector<host_entry> listed;
    std::map<base::host_id, base::time_point> excluded_until;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_RELAY_SELECTOR_H_
