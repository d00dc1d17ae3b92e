// Finds what upstreams end under, a part of prompts or a whole request, and keeps it away from
// them.
//
// A part of a prompt can end every upstream that begins to answer it, and so can a request that
// comes again with the same path, caller and body. Requests share such a part in the same way as
// they share sound ones, and an upstream that ends breaks off the sound requests that it runs too.
// The evidence against a subject is therefore the number of crashes under requests with it. For a
// part only crashes before the first event of an answer count, and an answer that begins clears it.
// A whole request can end an upstream at any time, and only a complete answer clears it. Crashes
// that one subject explains don't count against the others.
//
// Crashes are few and each host sees only its own, so the evidence is shared by all hosts: the
// functions for local events return the facts to share, and facts are fed back through `apply`. The
// verdict depends on the facts alone, so that all hosts come to the same one.
//
//   if (auto const found = quarantine.find(subjects, now)) { refuse(found->until); }
//   share(quarantine.answered(subjects.parts, now));              // the first event arrived
//   share(quarantine.answered({subjects.whole}, now));            // the answer is complete
//   share(quarantine.upstream_ended(subjects.all(), id, now));    // it broke off before an event
//   share(quarantine.upstream_ended({subjects.whole}, id, now));  // it broke off later

#ifndef LINNETLANE_ROUTING_REQUEST_QUARANTINE_H_
#define LINNETLANE_ROUTING_REQUEST_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/routing/answer_memory.h"
#include "linnetlane/routing/fact_board.h"

namespace linnetlane::routing {

// A part of prompts at one service, SERVICE/PART, or a whole request at one,
// request:DIGEST/SERVICE.
using quarantine_subject = base::basic_name<struct quarantine_subject_tag>;

// What can be quarantined of one request at one service. Upstreams of another service may answer
// the same without harm.
struct request_subjects {
    // In the order of the prompt; empty if the request has no prompt.
    std::vector<quarantine_subject> parts;
    quarantine_subject whole;

    // Returns the parts and the whole request.
    [[nodiscard]] auto all() const -> std::vector<quarantine_subject>;
};

[[nodiscard]] auto subjects_of(base::service_id const& service,
                               std::vector<base::prompt_part_id> const& parts,
                               base::request_digest const& request) -> request_subjects;
[[nodiscard]] auto is_whole_request(quarantine_subject const& subject) -> bool;

// Not thread-safe; must be used on one worker only.
class request_quarantine {
public:
    // The crashes after which a subject is quarantined: one that was never answered, and one that
    // was answered within `answer_validity`.
    static constexpr auto crashes_without_answer = std::size_t{3};
    static constexpr auto crashes_after_answer = std::size_t{5};
    // How long an answer counts in favour of its subjects. At 2,000 answers a second of different
    // requests about 1 in 50 is forgotten earlier (see `answer_memory`).
    static constexpr auto answer_validity = std::chrono::seconds{60};
    // The delay of a verdict while the crashes don't tell two subjects apart, in which a host that
    // has answered one of them says so.
    static constexpr auto ambiguity_delay = std::chrono::seconds{1};
    // Reports of a crash of one upstream within this time are about the same crash.
    static constexpr auto same_crash_interval = std::chrono::seconds{1};
    // Crashes of several upstreams within this time probably have a common cause, such as the loss
    // of a rack, and not one in the requests. So many of them count against a part of prompts, and
    // against a whole request, which one attempt sends to one upstream after the other.
    static constexpr auto common_cause_interval = std::chrono::milliseconds{200};
    static constexpr auto common_cause_crashes_of_part = std::size_t{1};
    static constexpr auto common_cause_crashes_of_request = std::size_t{2};

    // A subject that is quarantined.
    struct finding {
        quarantine_subject subject;
        base::time_point until;
    };

    // Records that an answer to the subjects was received at this host.
    [[nodiscard]] auto answered(std::vector<quarantine_subject> const& subjects,
                                base::time_point now) -> std::vector<shared_fact>;
    // Records that an upstream ended under a request with the subjects, parts in the order of the
    // prompt.
    [[nodiscard]] auto upstream_ended(std::vector<quarantine_subject> const& subjects,
                                      base::upstream_id const& upstream, base::time_point now) const
        -> std::vector<shared_fact>;
    // Applies a fact of this or another host. Returns what this host knows to the contrary.
    [[nodiscard]] auto apply(shared_fact const& fact, base::time_point now)
        -> std::vector<shared_fact>;
    // Returns the subject of the request whose quarantine lasts longest, if one is quarantined. A
    // whole request that is quarantined at another service is, unless this one has answered it.
    [[nodiscard]] auto find(request_subjects const& subjects, base::time_point now)
        -> std::optional<finding>;
    // Returns the quarantined subjects and when each was quarantined.
    [[nodiscard]] auto quarantined(base::time_point now)
        -> std::map<quarantine_subject, base::time_point>;
    // Returns the subjects that are quarantined for crashes that this process knows, without whole
    // requests that have the same crashes as another one.
    [[nodiscard]] auto convicted(base::time_point now) -> std::vector<quarantine_subject>;
    // Returns whether this process knows nothing for or against the subject, so that an earlier
    // verdict holds.
    [[nodiscard]] auto is_unknown(quarantine_subject const& subject) const -> bool {
        return !this->suspects.contains(subject) && !this->answers.find(subject.value);
    }

private:
    struct suspect {
        // The times of the crashes, by the name of the crash.
        std::map<std::string, base::time_point> crashes;
        std::size_t position = 0;
        // Another host's verdict, or one that outlived this process.
        std::optional<base::time_point> quarantined_at;

        [[nodiscard]] auto last_crash() const -> base::time_point;
    };
    struct verdict {
        base::time_point in_force_from;
        base::time_point until;
        // From crashes that this process knows, and that no other request shares.
        bool is_certain = false;
    };
    // A suspect with its crashes since the last answer.
    struct candidate {
        quarantine_subject subject;
        std::size_t position = 0;
        std::map<std::string, base::time_point> crashes;
        // An answer before the crashes still counts.
        bool answered = false;
    };

    auto forget_expired(base::time_point now) -> void;
    // Keeps the number of suspects within `fact_board::max_facts`.
    auto limit_suspects() -> void;
    // Returns the name of a crash of `upstream` now. Crashes of one process are numbered, since
    // processes may restart under their id.
    [[nodiscard]] auto name_crash(base::upstream_id const& upstream, base::time_point now) const
        -> std::string;
    [[nodiscard]] auto find_candidates() const -> std::vector<candidate>;
    // Returns the time at which the crashes of `one` without those in `explained` became enough for
    // a verdict, or nothing if they are not enough.
    [[nodiscard]] static auto decided_at(candidate const& one,
                                         std::set<std::string> const& explained)
        -> std::optional<base::time_point>;
    // Recomputes the verdicts if facts were applied. Many facts may arrive between two requests.
    auto evaluate(base::time_point now) -> void;
    // Returns the end of the subject's quarantine, or nothing if it isn't in force.
    [[nodiscard]] static auto end_of(verdict const& one, base::time_point now)
        -> std::optional<base::time_point>;

    std::map<quarantine_subject, suspect> suspects;
    answer_memory answers;
    std::map<quarantine_subject, verdict> verdicts;
    // Facts were applied since the verdicts were computed.
    bool stale = false;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_REQUEST_QUARANTINE_H_
