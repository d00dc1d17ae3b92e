// Keeps one shard: collects questions, and writes the claims of a batch by one compare-and-swap.
//
// A claim is granted only once its record is in the platform. After a lost answer, or another
// keeper's write, the shard is read again; a claim that is on record for its claimant is granted.
// When a question is refused after its record may have been written, only its claimant can tell
// that the call was not sent, and settles it.

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

using question = std::variant<claim_request, settle_request>;

// Where a shard's keeper leaves its commands.
struct keeper_context {
    base::time_point now;
    wall_time wall;
    std::map<base::host_id, base::incarnation> const& present;
    coordination::call_number& last_call;
    std::vector<command>& commands;
};

// Thread-compatible.
class shard_keeper {
public:
    // `writer` is unique for this host's incarnation; write ids begin with it.
    shard_keeper(shard_number kept, limits bounds, std::string writer);

    auto ask(question const& asked, keeper_context& context) -> void;
    // Whether the answer was to one of this shard's calls.
    auto handle(coordination::store_answer const& answer, keeper_context& context) -> bool;
    auto run_due(keeper_context& context) -> void;
    // Sends all that ask to the shard's next keeper.
    auto give_up(keeper_context& context) -> void;
    [[nodiscard]] auto next_deadline() const -> base::time_point;

private:
    enum class stage { unread, reading, idle, writing };
    struct waiting_question {
        claim::question question;
        base::time_point deadline;
        // Whether its record may be in the platform.
        bool may_be_written = false;
    };

    [[nodiscard]] auto has_work() const -> bool;
    [[nodiscard]] auto is_waiting(question const& asked) const -> bool;
    auto reply_if_known(claim_request const& asked, keeper_context& context) -> bool;
    auto refresh_if_under_way(claim_request const& asked, keeper_context& context) -> void;
    auto read(keeper_context& context) -> void;
    auto on_read(coordination::entries_read const& answer, keeper_context& context) -> void;
    auto on_written(coordination::swap_answer const& answer, keeper_context& context) -> void;
    auto on_failed(coordination::call_failed const& failed, keeper_context& context) -> void;
    auto write_batch(keeper_context& context) -> void;
    auto fill_batch(keeper_context& context) -> void;
    auto write(keeper_context& context) -> void;
    auto propose(waiting_question const& each, keeper_context& context) -> bool;
    auto propose_claim(waiting_question const& each, keeper_context& context) -> bool;
    auto propose_settle(waiting_question const& each, keeper_context& context) -> bool;
    auto put_back_batch(bool may_be_written) -> void;
    auto refuse_overdue(keeper_context& context) -> void;
    auto refuse(waiting_question const& each, verdict reason, keeper_context& context) -> void;
    auto reply_granted(claim_request const& asked, keeper_context& context) -> void;
    auto reply_already(claim_request const& asked, record const& kept, keeper_context& context)
        -> void;

    shard_number shard;
    limits bounds;
    std::string writer_name;
    shard_keeper::stage stage = stage::unread;
    coordination::call_number call;
    shard_log log;
    std::vector<waiting_question> waiting;
    // The questions and records of the write under way, and its id and time.
    std::vector<waiting_question> batch;
    std::vector<record> updates;
    std::string write_id;
    wall_time written_wall;
    std::uint64_t writes = 0;
    // Records that a restored platform lost; they are written back before anything else.
    std::vector<record> lost;
    base::time_point next_step;
};

}  // namespace linnetlane::claim

#endif  // LINNETLANE_CLAIM_SHARD_KEEPER_H_
