// Keeps one shard: collects requests and writes the records of a batch by one compare-and-swap.
//
// A claim is granted only after its record was written to the platform. After a lost answer or a
// write by another keeper the shard is read again, and a claim that is recorded for its claimant is
// granted. If a request is refused after its record may have been written, only its claimant knows
// that the call was not sent; it settles the claim.

#ifndef LINNETLANE_CLAIM_SHARD_KEEPER_H_
#define LINNETLANE_CLAIM_SHARD_KEEPER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "linnetlane/base/time.h"
#include "linnetlane/claim/limits.h"
#include "linnetlane/claim/messages.h"
#include "linnetlane/claim/record.h"
#include "linnetlane/claim/shard_log.h"
#include "linnetlane/coordination/store.h"

namespace linnetlane::claim {

using keeper_request = std::variant<claim_request, settle_request>;

// State of the host's keeper that a shard keeper uses while it handles an event, and the list to
// which it appends commands.
struct keeper_context {
    base::time_point now;
    wall_time wall;
    std::map<base::host_id, base::incarnation> const& present;
    coordination::call_number& last_call;
    std::vector<command>& commands;
};

// Decides on the requests of one shard. Thread-compatible.
class shard_keeper {
public:
    // `writer` must be unique to this incarnation of the host; write ids begin with it.
    shard_keeper(shard_number number, limits bounds, std::string writer);

    // Answers `request` from the known records, or queues it for the next batch.
    auto submit(keeper_request const& request, keeper_context& context) -> void;
    // Returns whether the answer was to one of this shard's calls.
    auto handle(coordination::store_answer const& answer, keeper_context& context) -> bool;
    // Refuses requests past their deadline and starts the next read or write if it is due.
    auto run_due(keeper_context& context) -> void;
    // Replies `not_keeper` to all pending requests, whose claimants then address the new keeper.
    auto redirect_waiting(keeper_context& context) -> void;
    [[nodiscard]] auto next_deadline() const -> base::time_point;

private:
    enum class stage { unread, reading, idle, writing };
    struct pending_request {
        keeper_request request;
        base::time_point deadline;
        // Whether its record may have been written to the platform.
        bool may_be_written = false;
    };

    [[nodiscard]] auto has_work() const -> bool;
    [[nodiscard]] auto is_waiting(keeper_request const& request) const -> bool;
    auto reply_if_known(claim_request const& request, keeper_context& context) -> bool;
    auto reread_if_under_way(claim_request const& request, keeper_context& context) -> void;
    auto read(keeper_context& context) -> void;
    auto on_read(coordination::entries_read const& answer, keeper_context& context) -> void;
    auto on_written(coordination::swap_answer const& answer, keeper_context& context) -> void;
    auto on_failed(coordination::call_failed const& failed, keeper_context& context) -> void;
    auto write_batch(keeper_context& context) -> void;
    auto fill_batch(keeper_context& context) -> void;
    auto write(keeper_context& context) -> void;
    auto prepare_record(pending_request const& pending, keeper_context& context) -> bool;
    auto prepare_claim(pending_request const& pending, keeper_context& context) -> bool;
    auto prepare_settle(pending_request const& pending, keeper_context& context) -> bool;
    auto requeue_batch(bool may_be_written) -> void;
    auto refuse_expired(keeper_context& context) -> void;
    auto refuse(pending_request const& pending, verdict reason, keeper_context& context) -> void;
    auto reply_granted(claim_request const& request, keeper_context& context) -> void;
    auto reply_already_claimed(claim_request const& request, record const& stored,
                               keeper_context& context) -> void;

    shard_number shard;
    limits bounds;
    std::string writer_name;
    shard_keeper::stage stage = stage::unread;
    coordination::call_number call;
    shard_log log;
    std::vector<pending_request> waiting;
    // Requests, records, id and time of the write under way.
    std::vector<pending_request> batch;
    std::vector<record> updates;
    std::string write_id;
    wall_time write_time;
    std::uint64_t writes = 0;
    // Records that are missing from a platform that was restored from a backup. They are written
    // back before anything else.
    std::vector<record> lost_records;
    // Earliest time of the next read or write.
    base::time_point next_call_at;
};

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_SHARD_KEEPER_H_
