// Brings versions from peer to peer. A new version is offered to a few peers, which ask for it if
// they lack it, so its text crosses each host's link about once; peers whose digests differ for
// longer compare all that they have.

#ifndef LINNETLANE_DOCUMENT_REPLICATOR_H_
#define LINNETLANE_DOCUMENT_REPLICATOR_H_

#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/document/acceptor.h"
#include "linnetlane/document/backoff.h"
#include "linnetlane/document/messages.h"
#include "linnetlane/document/outbox.h"

namespace linnetlane::document {

// Peers that hear of a new version at once from each host that takes it.
inline constexpr auto offer_fanout = std::size_t{3};
// A version that was asked for is not asked for again within this span.
inline constexpr auto want_patience = base::duration{std::chrono::milliseconds{500}};
// Between two comparisons with a peer whose digest differs.
inline constexpr auto compare_period = base::duration{std::chrono::seconds{1}};
// Between two questions of a host that doesn't know all documents yet.
inline constexpr auto ask_period = base::duration{std::chrono::milliseconds{500}};
// Peers that such a host asks at a time.
inline constexpr auto ask_fanout = std::size_t{2};

// Thread-compatible.
class replicator {
public:
    auto set_peers(std::vector<peer> present, base::time_point now, random_generator& random)
        -> void;
    // `all_known`: whether this host may answer for all documents.
    auto handle(received const& message, bool all_known, base::time_point now, acceptor& versions,
                outbox& out) -> void;
    // Offers versions that came into force.
    auto offer_new(std::vector<base::service_id> const& services, version_table const& table,
                   random_generator& random, outbox& out) -> void;
    auto run_due(bool all_known, base::time_point now, version_table const& table,
                 random_generator& random, outbox& out) -> void;
    [[nodiscard]] auto next_deadline() const -> base::time_point { return this->next_compare; }
    // Whether a peer that knows all documents has offered them, and what was lacking has come.
    [[nodiscard]] auto has_caught_up() const -> bool;

private:
    struct wanted {
        version_id id;
        base::time_point again_at;
    };

    auto answer_offer_request(base::host_id const& from, bool all_known, version_table const& table,
                              outbox& out) -> void;
    auto answer_offer(base::host_id const& from, offer const& message, base::time_point now,
                      version_table const& table, outbox& out) -> void;
    auto answer_version_request(base::host_id const& from, version_request const& message,
                                version_table const& table, outbox& out) -> void;
    auto offer_back(base::host_id const& from, offer const& message, version_table const& table,
                    outbox& out) -> void;
    auto some_peers(std::size_t count, random_generator& random) const
        -> std::vector<base::host_id>;
    auto ask_peers(random_generator& random, outbox& out) -> void;
    auto compare(bool all_known, version_table const& table, random_generator& random, outbox& out)
        -> void;
    auto owe(offer const& message, version_table const& table) -> void;

    std::vector<peer> peers;
    std::map<base::service_id, wanted> asked_for;
    std::set<base::service_id> owed;
    bool asked = false;
    bool offered_all = false;
    base::time_point next_compare = base::time_point::max();
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_REPLICATOR_H_
