#include "linnetlane/membership/change_queue.h"

#include <algorithm>
#include <bit>

namespace linnetlane::membership {

auto change_queue::add(host_record const& record, std::size_t hosts) -> void {
    auto const doublings = static_cast<std::size_t>(std::bit_width(hosts));
    this->pending[record.host] = change{record, transmissions_per_doubling * doublings};
}

auto change_queue::take(std::size_t max_count) -> std::vector<host_record> {
    auto order = std::vector<change*>{};
    for (auto& [host, pending_change] : this->pending) {
        order.push_back(&pending_change);
    }
    std::stable_sort(order.begin(), order.end(), [](change* left, change* right) {
        return left->transmissions_left > right->transmissions_left;
    });
    order.resize(std::min(max_count, order.size()));
    auto taken = std::vector<host_record>{};
    for (auto* const each : order) {
        taken.push_back(each->record);
        --each->transmissions_left;
    }
    std::erase_if(this->pending,
                  [](auto const& entry) { return entry.second.transmissions_left == 0; });
    return taken;
}

}  // namespace linnetlane::membership
