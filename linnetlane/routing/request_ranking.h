// Ranks the requests of a service by the priorities that the configuration gives accounts and
// routes, and decides how widely each may search for room while there is too little of it.
//
// A request that has to ask many engines before one has room shows that room is scarce for its
// rank. While that is so, requests that rank behind it ask few engines, and so find room only if
// there is plenty. Hosts tell each other for which ranks room is scarce.
//
//   if (is_hard_search(asked, engines, found)) { scarcity.note(rank, now); }
//   ...
//   auto const until = scarcity.outranked_until(rank, now);   // nothing: search everywhere

#ifndef LINNETLANE_ROUTING_REQUEST_RANKING_H_
#define LINNETLANE_ROUTING_REQUEST_RANKING_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "linnetlane/base/time.h"
#include "linnetlane/routing/configuration.h"

namespace linnetlane::routing {

// What decides which of two requests goes first; the smaller one does.
struct request_rank {
    // 0 is the most urgent. An account's priority goes before that of a route.
    int account_priority = 0;
    int route_priority = 0;

    friend auto operator<=>(request_rank const&, request_rank const&)
        -> std::strong_ordering = default;
};

// Returns the rank of a request on a route, for an account if there are any. Whether the caller has
// been refused before doesn't count.
[[nodiscard]] auto rank_request(route const& on, client_account const* account) -> request_rank;

// Formats a rank as `ACCOUNT/ROUTE`, and parses that. Returns nullopt if `text` has another format.
[[nodiscard]] auto to_string(request_rank const& rank) -> std::string;
[[nodiscard]] auto parse_rank(std::string_view text) -> std::optional<request_rank>;

// Returns whether requests of the service are ranked: its routes, or the accounts, differ in
// priority.
[[nodiscard]] auto ranks_requests(configuration const& in_force, base::service_id const& service)
    -> bool;

// The number of engines that an outranked request asks.
inline constexpr auto narrow_search = std::size_t{1};

// Returns whether a search that asked `asked` of `engines` engines shows that room is scarce.
[[nodiscard]] auto is_hard_search(std::size_t asked, std::size_t engines, bool found) -> bool;

// For which ranks of a service room is scarce. Not thread-safe; must be used on one worker only.
class room_scarcity {
public:
    // How long an observation holds: about the length of a run, after which room has become free.
    static constexpr auto lifetime = std::chrono::seconds{3};

    // Records that room was scarce for `rank`.
    auto note(request_rank const& rank, base::time_point observed_at) -> void;
    // Returns until when the rank is behind one for which room is scarce, or nothing if it isn't.
    [[nodiscard]] auto outranked_until(request_rank const& rank, base::time_point now) const
        -> std::optional<base::time_point>;

private:
    std::map<request_rank, base::time_point> scarce_until;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_REQUEST_RANKING_H_
