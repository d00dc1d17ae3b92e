// What an upstream says of its load in an answer.

#ifndef LINNETLANE_ROUTING_LOAD_REPORT_H_
#define LINNETLANE_ROUTING_LOAD_REPORT_H_

#include <cstddef>

namespace linnetlane::routing {

struct load_report {
    std::size_t running = 0;
    std::size_t waiting = 0;
    std::size_t slots = 1;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_LOAD_REPORT_H_
