// Record changes that wait to be piggybacked on messages to peers.
//
// Each change is sent a bounded number of times, proportional to the logarithm of the number of
// hosts, which reaches all of them with high probability. The exchange of tables repairs what is
// missed.

#ifndef LINNETLANE_MEMBERSHIP_CHANGE_QUEUE_H_
#define LINNETLANE_MEMBERSHIP_CHANGE_QUEUE_H_

#include <cstddef>
#include <map>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/membership/messages.h"

namespace linnetlane::membership {

// How often a change is sent for each doubling of the number of hosts.
inline constexpr auto transmissions_per_doubling = std::size_t{3};

// Thread-compatible.
class change_queue {
public:
    // Queues `record` in place of an earlier change of the same host. `hosts` is the fleet's size.
    auto add(host_record const& record, std::size_t hosts) -> void;
    // Returns the `max_count` changes with the most transmissions left, and counts one transmission
    // of each.
    auto take(std::size_t max_count) -> std::vector<host_record>;
    [[nodiscard]] auto empty() const -> bool { return this->pending.empty(); }

private:
    struct change {
        host_record record;
        std::size_t transmissions_left = 0;
    };
    std::map<base::host_id, change> pending;
};

}  // namespace linnetlane::membership

#endif  // LINNETLANE_MEMBERSHIP_CHANGE_QUEUE_H_
