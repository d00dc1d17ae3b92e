// The upstreams that are registered, as a host knows them, through outages of the registry.
//
//   auto known = upstream_set{};
//   known.replace_all(listed, now);       // after a full read
//   known.put(record);                    // a change
//   known.remove(id, now);
//   known.expire(now);
//
// The record of a process that ended stays listed for seconds. It is dropped as soon as a process
// that started later registers with the same address.
//
// A record that is missing right after the registry was away is kept for a while: live upstreams
// need some time to register again. Leaving takes effect at once.

#ifndef LINNETLANE_ROUTING_UPSTREAM_SET_H_
#define LINNETLANE_ROUTING_UPSTREAM_SET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// What part of a generation an engine does.
enum class engine_stage { prefill, decode };

// What an upstream has registered.
struct upstream_record {
    base::upstream_id id;
    base::service_id service;
    base::endpoint address;
    base::data_centre_id data_centre;
    // Tells a restart under the same id from the process before it.
    base::incarnation started;
    // Requests that it works on at the same time.
    std::size_t slots = 1;
    // It finishes what it has and takes nothing new.
    bool leaving = false;
    // None for upstreams that are no engines.
    std::optional<engine_stage> stage;

    friend auto operator==(upstream_record const&, upstream_record const&) -> bool = default;
};

// How a record differs from what was known.
enum class record_change { none, added, restarted, updated, ignored };

// How long a missing record is kept after the registry came back: upstreams register again within
// two seconds of that, plus one of their heartbeats' jitter.
inline constexpr auto reregistration_grace = std::chrono::milliseconds{2200};

// Belongs to one worker.
class upstream_set {
public:
    // The registry can't be read.
    auto note_outage() -> void;
    // From now on missing records are kept for their grace.
    auto begin_grace(base::time_point now) -> void;
    // Takes a full listing; returns those that are gone.
    auto replace_all(std::vector<upstream_record> const& listed, base::time_point now)
        -> std::vector<base::upstream_id>;
    // `record` is ignored if a process that started later has its address.
    auto put(upstream_record const& record) -> record_change;
    // The record with the address of `record` whose process has ended, if `record` is right.
    [[nodiscard]] auto superseded_by(upstream_record const& record) const -> upstream_record const*;
    // The record is gone; whether the upstream is now, too.
    auto remove(base::upstream_id const& id, base::time_point now) -> bool;
    // Drops records whose grace is over, and returns them.
    auto expire(base::time_point now) -> std::vector<base::upstream_id>;

    [[nodiscard]] auto find(base::upstream_id const& id) const -> upstream_record const*;
    [[nodiscard]] auto all() const -> std::map<base::upstream_id, upstream_record> const& {
        return this->records;
    }
    // Whether a full listing was ever taken.
    [[nodiscard]] auto known() const -> bool { return this->listed_once; }

private:
    std::map<base::upstream_id, upstream_record> records;
    std::map<base::upstream_id, base::time_point> drop_at;
    // Until then, missing records are kept for their grace.
    base::time_point grace_until = base::time_point::min();
    bool outage = false;
    bool listed_once = false;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_UPSTREAM_SET_H_
