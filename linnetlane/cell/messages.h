// The events that a cell's scheduler handles and the commands that it returns.
//
// A cell is a group of one service's upstreams in one data centre. One host, the keeper, runs its
// scheduler: the ledger of engine memory, the queues, and the choice of engines. The entry host
// that serves a request is the holder of its grant: it acquires the grant, renews it while it is in
// use and releases it.

#ifndef LINNETLANE_CELL_MESSAGES_H_
#define LINNETLANE_CELL_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/priority.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/service/document.h"

namespace linnetlane::cell {

// One incarnation of an entry host that holds grants.
struct holder {
    base::host_id host;
    base::incarnation incarnation;

    friend auto operator<=>(holder const&, holder const&) -> std::strong_ordering = default;
};

// One attempt to run one request.
struct attempt {
    base::request_id request;
    base::attempt_number number;

    friend auto operator<=>(attempt const&, attempt const&) -> std::strong_ordering = default;
};

// The phase of an attempt, as reported by its holder.
enum class phase { granted, prefilling, transferring, decoding };

// Events.

// A holder asks for engines. The scheduler answers with exactly one `grant` or `refuse`, at once or
// later, unless a `release` of the same attempt withdraws the acquire before.
struct acquire {
    cell::attempt attempt;
    cell::holder holder;
    base::caller_id caller;
    base::priority_class priority = base::priority_class::interactive;
    // Prompt tokens, including the tokens already delivered if an answer is resumed.
    base::token_count prompt;
    // Upper bound on the output tokens still to come.
    base::token_count output_bound;
    // Hash of the first piece of the prompt, of the first two, and so on.
    std::vector<base::prefix_hash> prefixes;
    base::time_point first_token_deadline;
    // Upstreams that failed this request earlier.
    std::vector<base::upstream_id> avoid;
    // The prefill engine that still keeps the prefill result of this request, if any, and until
    // when. Only a decode engine is needed then.
    std::optional<base::upstream_id> kept_by;
    base::time_point kept_until;
};

// One grant that its holder still uses.
struct renewal {
    cell::attempt attempt;
    cell::phase phase = phase::granted;
    // Output tokens produced in this attempt so far.
    base::token_count produced;
};

// The periodic renewal of all grants that a holder has in this cell.
struct renew {
    cell::holder holder;
    std::vector<renewal> renewals;
};

// Durations that a holder measured for an attempt; those of phases that it did not finish are
// absent.
struct observation {
    std::optional<base::duration> prefill_took;
    std::optional<base::duration> transfer_took;
    std::optional<base::duration> decode_took;
    base::token_count prefilled;
    base::token_count produced;
};

// How an attempt ended.
enum class ending {
    completed,
    cancelled,
    prefill_failed,
    transfer_stalled,
    decode_failed,
    expired
};

// A holder releases everything that an attempt holds, or withdraws its `acquire`. Idempotent.
struct release {
    cell::attempt attempt;
    cell::holder holder;
    cell::ending ending = ending::completed;
    // Whether the engines confirmed that they hold no state of the attempt. If not, the keeper
    // aborts it there before it grants the pieces again.
    bool engines_clear = true;
    cell::observation observation;
};

// A holder's process ended, was replaced by a later incarnation, or disappeared.
struct holder_gone {
    cell::holder holder;
};

// An upstream's report of its load, which lags behind its state.
struct upstream_report {
    base::upstream_id upstream;
    base::piece_count pieces_used;
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    bool leaving = false;
};

// An engine became unreachable, or reachable again.
struct upstream_reachable {
    base::upstream_id upstream;
    bool reachable = true;
};

// Changes of an engine's prefix cache. Events are late and may be lost, which leaves gaps in
// `sequence`.
struct cache_event {
    base::upstream_id upstream;
    std::uint64_t sequence = 0;
    std::vector<base::prefix_hash> stored;
    std::vector<base::prefix_hash> evicted;
};

// The engine confirmed an `abort`: it holds no state of the attempt.
struct aborted {
    base::upstream_id upstream;
    cell::attempt attempt;
};

// A grant as known to its holder, announced to a new keeper.
struct held_grant {
    cell::attempt attempt;
    cell::phase phase = phase::granted;
    std::optional<base::upstream_id> prefill;
    base::upstream_id decode;
    base::piece_count pieces;
    base::token_count prompt;
    base::token_count output_bound;
    base::token_count produced;
};

// All grants of a holder in this cell, sent to a new keeper.
struct announce {
    cell::holder holder;
    std::vector<held_grant> grants;
};

// The upstreams of the cell and the service's settings, from the service document in force.
struct configure {
    service::engine_shape shape;
    service::targets targets;
    service::policy policy;
    std::vector<service::caller> callers;
    std::vector<service::upstream> upstreams;
};

// Time passed, so deadlines may have expired.
struct tick {};

using event = std::variant<acquire, renew, release, holder_gone, upstream_report,
                           upstream_reachable, cache_event, aborted, announce, configure, tick>;

// Commands.

// Assigns engines to an attempt.
struct grant {
    cell::attempt attempt;
    cell::holder holder;
    // Absent if no prefill is needed: the cell has no prefill engines, or one keeps the result.
    std::optional<base::upstream_id> prefill;
    base::upstream_id decode;
    base::piece_count pieces;
    // When to send the prefill; in the future if the prefill engine is still busy.
    base::time_point prefill_start;
    // Whether the pieces are free already. If not, a `decode_ready` or a `refuse` follows.
    bool ready = true;
    // When the holder has to stop using the grant unless it has renewed it.
    base::time_point deadline;
};

// The pieces of a grant that was booked ahead are now free.
struct decode_ready {
    cell::attempt attempt;
    cell::holder holder;
    // The engine that imports the KV cache; it may differ from the one in the grant.
    base::upstream_id decode;
};

// Why an attempt is refused.
enum class refusal {
    // The first-token target can't be met, given the work that is already queued.
    overloaded,
    // The caller's fair share is used up while the cell is overloaded.
    over_share,
    // A role that the request needs has no upstream that is reachable and not leaving.
    no_upstream,
    // The request needs more memory than an engine has.
    too_large,
    // The keeper is new and doesn't know yet which grants exist.
    keeper_starting,
    // The booked decode memory did not become free in time.
    booking_failed,
};

// Refuses an attempt. Final: the attempt holds nothing in the cell any more.
struct refuse {
    cell::attempt attempt;
    cell::holder holder;
    refusal reason = refusal::overloaded;
    // When a retry is expected to be accepted.
    base::time_point retry_at;
};

// Ends all work of an attempt in an engine after its grant ended. Repeated until `aborted`.
struct abort {
    base::upstream_id upstream;
    cell::attempt attempt;
};

using command = std::variant<grant, decode_ready, refuse, abort>;

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_MESSAGES_H_
