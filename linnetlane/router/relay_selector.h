// Which host a host follows for the changes of the registry: the first of its data centre by name,
// unless that failed it lately. The first one reads the registry itself.

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

// Belongs to one worker.
class relay_choice {
public:
    // A host that failed is passed over for this long, so that one that is gone costs little until
    // it leaves the list of hosts.
    static constexpr auto passed_over_for = std::chrono::seconds{2};

    relay_choice(base::host_id own_host, base::data_centre_id own_data_centre)
        : self{std::move(own_host)}, here{std::move(own_data_centre)} {}

    auto set_hosts(std::vector<host_entry> hosts) -> void {
        std::ranges::sort(hosts, {}, &host_entry::host);
        this->listed = std::move(hosts);
    }
    // The host to follow; none if this host has to read the registry.
    [[nodiscard]] auto choose(base::time_point now) const -> std::optional<host_entry> {
        for (auto const& each : this->listed) {
            if (each.host == this->self) {
                return std::nullopt;
            }
            auto const found = this->passed_over.find(each.host);
            auto const failed = found != this->passed_over.end() && now < found->second;
            if (each.data_centre == this->here && each.peers && !failed) {
                return each;
            }
        }
        return std::nullopt;
    }
    auto note_failure(base::host_id const& host, base::time_point now) -> void {
        this->passed_over[host] = now + passed_over_for;
    }

private:
    base::host_id self;
    base::data_centre_id here;
    // By name.
    std::vector<host_entry> listed;
    std::map<base::host_id, base::time_point> passed_over;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_RELAY_SELECTOR_H_
