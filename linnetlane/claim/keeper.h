// The claim keeper of this host: routes requests and platform answers to the shards that the host
// keeps.
//
//   auto keeper = claim::keeper{limits{}, "bne-north-1/1730000000000"};
//   keeper.handle(view_changed{kept_shards, present_hosts}, now);
//   auto const commands = keeper.handle(request_received{request, wall}, now);

#ifndef LINNETLANE_CLAIM_KEEPER_H_
#define LINNETLANE_CLAIM_KEEPER_H_

#include <map>
#include <string>
#include <vector>

#include "linnetlane/base/time.h"
#include "linnetlane/claim/limits.h"
#include "linnetlane/claim/messages.h"
#include "linnetlane/claim/shard_keeper.h"

namespace linnetlane::claim {

// Decides on claim and settle requests without doing I/O. Thread-compatible.
class keeper {
public:
    // `writer` must be unique to this incarnation of the host; write ids begin with it.
    keeper(limits bounds, std::string writer);

    // Handles one event at `now` and returns the commands to carry out.
    auto handle(event const& incoming, base::time_point now) -> std::vector<command>;
    // The time by which a `tick` is due; `time_point::max()` if nothing waits.
    [[nodiscard]] auto next_deadline() const -> base::time_point;

private:
    auto on(request_received const& notice, base::time_point now) -> void;
    auto on(store_answered const& notice, base::time_point now) -> void;
    auto on(view_changed const& notice, base::time_point now) -> void;
    auto on(tick const& notice, base::time_point now) -> void;
    auto run_due(base::time_point now) -> void;
    auto context_at(base::time_point now) -> keeper_context;

    limits bounds;
    std::string writer_name;
    // A shard is read from the platform at its first request, so taking over many shards costs no
    // reads.
    std::map<shard_number, shard_keeper> shards;
    std::map<base::host_id, base::incarnation> present;
    // The wall clock at the last event that carried it.
    wall_time wall;
    coordination::call_number last_call;
    std::vector<command> commands;
};

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_KEEPER_H_
