// Chooses upstreams for plain calls by the number of calls that this host has in flight at each.
//
//   auto const chosen =
//       table.choose(document, local_data_centre, excluded, make_random(), now);
//   table.record_start(chosen->id);
//   table.record_end(chosen->id, call_result::answered, now);

#ifndef LINNETLANE_DAEMON_ENTRY_PLAIN_UPSTREAMS_H_
#define LINNETLANE_DAEMON_ENTRY_PLAIN_UPSTREAMS_H_

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/service/document.h"

namespace linnetlane::daemon {

// Outcome of a call to an upstream.
enum class call_result { answered, failed, dropped };

// A failed upstream gets no calls for this long, unless there is no other.
inline constexpr auto failure_cooldown = std::chrono::seconds{2};

// Thread-safe. Its mutex is never held while other code is called.
class plain_upstreams {
public:
    // Returns the less loaded of two random upstreams of `document` that aren't leaving and aren't
    // in `excluded`. Prefers the local data centre; uses others only if the document lets calls
    // spill. Upstreams in their failure cooldown come last. If all upstreams that aren't leaving
    // are excluded, returns one of these; nothing if all are leaving.
    [[nodiscard]] auto choose(service::document const& document,
                              base::data_centre_id const& local_data_centre,
                              std::vector<base::upstream_id> const& excluded, std::uint64_t random,
                              base::time_point now) const -> std::optional<service::upstream>;
    // Counts a call to `id` that begins.
    auto record_start(base::upstream_id const& id) -> void;
    // Counts a call to `id` that ended.
    auto record_end(base::upstream_id const& id, call_result result, base::time_point now) -> void;

private:
    struct upstream_load {
        std::int64_t in_flight = 0;
        base::time_point cooldown_until;
    };

    [[nodiscard]] auto choose_excluding(service::document const& document,
                                        base::data_centre_id const& local_data_centre,
                                        std::vector<base::upstream_id> const& excluded,
                                        std::uint64_t random, base::time_point now) const
        -> std::optional<service::upstream>;
    [[nodiscard]] auto less_loaded(std::vector<service::upstream const*> const& candidates,
                                   std::uint64_t random) const -> service::upstream const*;
    [[nodiscard]] auto in_flight(base::upstream_id const& id) const -> std::int64_t;
    [[nodiscard]] auto is_cooling_down(base::upstream_id const& id, base::time_point now) const
        -> bool;

    mutable std::mutex mutex;
    // Guarded by `mutex`. Only upstreams with calls in flight or in their cooldown.
    std::unordered_map<base::upstream_id, upstream_load> loads;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_PLAIN_UPSTREAMS_H_
