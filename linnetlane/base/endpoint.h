// Network endpoints.

#ifndef LINNETLANE_BASE_ENDPOINT_H_
#define LINNETLANE_BASE_ENDPOINT_H_

#include <compare>
#include <cstdint>
#include <string>

namespace linnetlane::base {

// An IP address (never a host name) and a TCP port.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;

    friend auto operator<=>(endpoint const&, endpoint const&) -> std::strong_ordering = default;
};

}  // namespace linnetlane::base

#endif  // LINNETLANE_BASE_ENDPOINT_H_
