// The claim keeper of this host: the shards that are its own.
//
//   auto keeper = claim::keeper{limits{}, "bne-north-1/1730000000000"};
//   keeper.handle(view_changed{kept_shards, present_hosts}, now);
//   auto const commands = keeper.handle(asked{question, wall}, now);

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

// Thread-compatible.
class keeper {
public:
    // `writer` is unique for this host's incarnation.
    keeper(limits bounds, std::string writer);

    auto handle(event const& happened, base::time_point now) -> std::vector<command>;
    // When `tick` is due at the latest.
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
    // Shards are read at the first question, so that taking over many costs nothing.
    std::map<shard_number, shard_keeper> shards;
    std::map<base::host_id, base::incarnation> present;
    // The wall clock at the last event that told it.
    wall_time wall;
    coordination::call_number last_call;
    std::vector<command> commands;
};

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_KEEPER_H_
