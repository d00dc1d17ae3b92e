// What the hosts of a fleet tell each other: observations that no host could make alone, each with
// its age.
//
// The newest observation of a subject holds. A board counts its changes, so that two hosts exchange
// only what changed since their last exchange. Facts expire by themselves, and a board holds at
// most `max_facts` of each kind.
//
//   if (board.note(fact, now) != fact_novelty::known) { ... }
//   auto const news = board.changed_since(last, now);   // for another host
//   last = board.position();

#ifndef LINNETLANE_ROUTING_FACT_BOARD_H_
#define LINNETLANE_ROUTING_FACT_BOARD_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// The values are those on the wire between hosts.
enum class fact_kind : std::uint8_t {
    // An upstream ended under a request. The subject is that of a quarantine, the witness names the
    // crash, and the value is the position of the subject among those of the request.
    upstream_crash = 1,
    // The subject was answered.
    answered = 2,
    // The subject is kept away from upstreams.
    quarantined = 3,
    // The requests per second that an upstream takes from all hosts together; negative if it names
    // no limit any more.
    upstream_limit = 4,
    // Room at the upstreams of a service was scarce. The subject is the service, the witness the
    // rank of the requests that found it so.
    room_scarce = 5,
};

// The value of `fact_kind::upstream_limit` for an upstream that names no limit.
inline constexpr auto no_limit = -1.0;

// How the names of subjects that are whole requests begin.
inline constexpr auto whole_request_prefix = std::string_view{"request:"};

struct fact_key {
    fact_kind kind = fact_kind::upstream_crash;
    std::string subject;
    // Tells facts of one subject apart; empty for kinds that have one fact a subject.
    std::string witness;

    friend auto operator<=>(fact_key const&, fact_key const&) -> std::strong_ordering = default;
    friend auto operator==(fact_key const&, fact_key const&) -> bool = default;
};

struct shared_fact {
    fact_key key;
    double value = 0;
    base::time_point observed_at;

    friend auto operator==(shared_fact const&, shared_fact const&) -> bool = default;
};

// Counts the changes of one board.
using fact_position = base::basic_number<struct fact_position_tag>;

enum class fact_novelty {
    // The board has this fact or a newer one.
    known,
    // A later observation of the same value.
    confirmed,
    changed,
};

// Not thread-safe; must be used on one worker only.
class fact_board {
public:
    // The number of facts of each kind that are kept. The oldest make room for newer ones.
    static constexpr auto max_facts = std::size_t{256};
    // The same for whole requests. An upstream that ends breaks off many, of which few come again.
    static constexpr auto max_request_facts = std::size_t{64};
    // Ids from other hosts that are longer are ignored.
    static constexpr auto max_text_bytes = std::size_t{200};
    // A later observation of the same value within this time changes nothing. It exceeds the time
    // that a fact spends between hosts, which its age doesn't include, so that no fact circulates.
    static constexpr auto confirm_interval = std::chrono::seconds{1};

    // Returns how long a fact holds after its observation.
    [[nodiscard]] static auto lifetime(fact_kind kind) -> base::duration;

    auto note(shared_fact const& fact, base::time_point now) -> fact_novelty;
    // Returns the facts that changed after `after` and still hold.
    [[nodiscard]] auto changed_since(fact_position after, base::time_point now) const
        -> std::vector<shared_fact>;
    // Returns the newest observation of a subject, or nothing if none holds.
    [[nodiscard]] auto find(fact_key const& key, base::time_point now) const
        -> std::optional<shared_fact>;
    [[nodiscard]] auto position() const -> fact_position { return this->newest; }
    [[nodiscard]] auto empty() const -> bool { return this->facts.empty(); }

private:
    struct entry {
        double value = 0;
        base::time_point observed_at;
        // The observation of the last change, which other hosts were told.
        base::time_point told_at;
        fact_position changed_at;
    };

    auto forget_expired(base::time_point now) -> void;
    // Drops the oldest fact like `fact` if there are too many. Returns false if `fact` is no newer:
    // boards that dropped different facts would otherwise exchange them without end.
    auto make_room(shared_fact const& fact) -> bool;

    std::map<fact_key, entry> facts;
    fact_position newest;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_FACT_BOARD_H_
