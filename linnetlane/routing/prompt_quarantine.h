// Finds the parts of prompts under which upstreams end, and keeps them away from upstreams.
//
// A part of a prompt can end every upstream that begins to answer it. Requests share such a part in
// the same way as they share sound ones, and an upstream that ends breaks off the sound requests
// that it runs too. The evidence against a part is therefore the number of crashes under requests
// with it that had no event of an answer yet; an answer that begins clears all parts of its prompt.
// Crashes that one part explains don't count against the parts beside it.
//
// Crashes are few and each host sees only its own, so the evidence is shared by all hosts: the
// functions for local events return the facts to share, and facts are fed back through `apply`. The
// verdict depends on the facts alone, so that all hosts come to the same one.
//
//   if (auto const until = quarantine.blocked_until(parts, now)) { refuse(*until); }
//   share(quarantine.answer_began(parts, now));           // the first event arrived
//   share(quarantine.upstream_ended(parts, id, now));     // it broke off before the first event

#ifndef LINNETLANE_ROUTING_PROMPT_QUARANTINE_H_
#define LINNETLANE_ROUTING_PROMPT_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/routing/fact_board.h"

namespace linnetlane::routing {

// Returns the names under which a service's quarantine knows the parts of prompts. Upstreams of
// another service may answer the same parts without harm.
[[nodiscard]] auto parts_at(base::service_id const& service,
                            std::vector<base::prompt_part_id> const& parts)
    -> std::vector<base::prompt_part_id>;

// Not thread-safe; must be used on one worker only.
class prompt_quarantine {
public:
    // The crashes after which a part is quarantined: one that was never answered, and one that was
    // answered within `answer_validity`.
    static constexpr auto crashes_without_answer = std::size_t{3};
    static constexpr auto crashes_after_answer = std::size_t{5};
    // How long an answer counts in favour of the parts of its prompt.
    static constexpr auto answer_validity = std::chrono::seconds{60};
    // The delay of a verdict while the crashes don't tell two parts apart, in which a host that has
    // answered one of them says so.
    static constexpr auto ambiguity_delay = std::chrono::seconds{1};
    // Reports of a crash of one upstream within this time are about the same crash.
    static constexpr auto same_crash_interval = std::chrono::seconds{1};
    // Crashes of several upstreams within this time count once: upstreams that end together have a
    // common cause, such as the loss of a rack, and not one in the prompts.
    static constexpr auto common_cause_interval = std::chrono::milliseconds{200};
    // The number of answered parts that are remembered; the oldest are forgotten.
    static constexpr auto max_answered = std::size_t{4096};

    // Records that an answer to a prompt with these parts began at this host.
    [[nodiscard]] auto answer_began(std::vector<base::prompt_part_id> const& parts,
                                    base::time_point now) -> std::vector<shared_fact>;
    // Records that an upstream broke off a request with these parts before the first event.
    [[nodiscard]] auto upstream_ended(std::vector<base::prompt_part_id> const& parts,
                                      base::upstream_id const& upstream, base::time_point now) const
        -> std::vector<shared_fact>;
    // Applies a fact of this or another host. Returns what this host knows to the contrary.
    [[nodiscard]] auto apply(shared_fact const& fact, base::time_point now)
        -> std::vector<shared_fact>;
    // Returns the end of the quarantine of one of the parts, if one is quarantined.
    [[nodiscard]] auto blocked_until(std::vector<base::prompt_part_id> const& parts,
                                     base::time_point now) const -> std::optional<base::time_point>;
    // Returns the quarantined parts and when each was quarantined.
    [[nodiscard]] auto quarantined(base::time_point now) const
        -> std::map<base::prompt_part_id, base::time_point>;
    // Returns the parts that are quarantined for crashes that this process knows.
    [[nodiscard]] auto convicted(base::time_point now) const -> std::vector<base::prompt_part_id>;
    // Returns whether this process knows nothing for or against the part, so that an earlier
    // verdict holds.
    [[nodiscard]] auto is_unknown(base::prompt_part_id const& part) const -> bool {
        return !this->suspects.contains(part) && !this->answered.contains(part);
    }

private:
    struct suspect {
        // The times of the crashes, by the name of the crash.
        std::map<std::string, base::time_point> crashes;
        std::size_t position = 0;
        // Another host's verdict, or one that outlived this process.
        std::optional<base::time_point> quarantined_at;
    };
    struct verdict {
        base::time_point in_force_from;
        base::time_point until;
        bool from_crashes = false;
    };
    // A suspect with its crashes since the last answer.
    struct candidate {
        base::prompt_part_id part;
        std::size_t position = 0;
        std::map<std::string, base::time_point> crashes;
        // An answer before the crashes still counts.
        bool answered = false;
    };

    auto forget_expired(base::time_point now) -> void;
    auto forget_oldest_answer() -> void;
    // Returns the name of a crash of `upstream` now. Crashes of one process are numbered, since
    // processes may restart under their id.
    [[nodiscard]] auto name_crash(base::upstream_id const& upstream, base::time_point now) const
        -> std::string;
    [[nodiscard]] auto last_answer(base::prompt_part_id const& part) const
        -> std::optional<base::time_point>;
    [[nodiscard]] auto find_candidates() const -> std::vector<candidate>;
    // Returns the time at which the crashes of `one` without those in `explained` became enough for
    // a verdict, or nothing if they are not enough.
    [[nodiscard]] static auto decided_at(candidate const& one,
                                         std::set<std::string> const& explained)
        -> std::optional<base::time_point>;
    // Recomputes the verdicts.
    auto evaluate() -> void;

    std::map<base::prompt_part_id, suspect> suspects;
    std::map<base::prompt_part_id, base::time_point> answered;
    std::map<base::prompt_part_id, verdict> verdicts;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_PROMPT_QUARANTINE_H_
