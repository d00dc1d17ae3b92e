// Replicates document versions between peers. A new version is offered to a few peers, which
// request it if they lack it, so each host receives its text about once. A host periodically sends
// a complete offer to a peer whose digest differs. That peer requests the versions that it lacks
// and offers those that are newer or missing in the complete offer.

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

// Number of peers to which a host offers a version as soon as it comes into force.
inline constexpr auto offer_fanout = std::size_t{3};
// Time after which a requested version that did not arrive may be requested again.
inline constexpr auto version_request_timeout = base::duration{std::chrono::milliseconds{500}};
// Time between two complete offers to peers whose digests differ.
inline constexpr auto compare_period = base::duration{std::chrono::seconds{1}};
// Time between two offer requests of a host that doesn't know all documents yet.
inline constexpr auto offer_request_period = base::duration{std::chrono::milliseconds{500}};
// Number of peers to which such a host sends each offer request.
inline constexpr auto offer_request_fanout = std::size_t{2};

// Exchanges document versions with the peers of this host. Thread-compatible.
class replicator {
public:
    auto set_peers(std::vector<peer> present, base::time_point now, random_generator& random)
        -> void;
    // Handles a message from a peer. `all_known` is whether this host knows all documents and may
    // answer offer requests.
    auto handle(received const& message, bool all_known, base::time_point now, acceptor& versions,
                outbox& out) -> void;
    // Offers the new versions of `services` to random peers.
    auto offer_new(std::vector<base::service_id> const& services, version_table const& table,
                   random_generator& random, outbox& out) -> void;
    // Sends offer requests and complete offers that are due.
    auto run_due(bool all_known, base::time_point now, version_table const& table,
                 random_generator& random, outbox& out) -> void;
    [[nodiscard]] auto next_deadline() const -> base::time_point { return this->next_compare; }
    // Whether a peer that knows all documents has offered them, and every offered version that this
    // host lacked has arrived.
    [[nodiscard]] auto has_caught_up() const -> bool;

private:
    struct outstanding_request {
        version_id id;
        base::time_point retry_at;
    };

    auto answer_offer_request(base::host_id const& from, bool all_known, version_table const& table,
                              outbox& out) -> void;
    auto answer_offer(base::host_id const& from, offer const& message, base::time_point now,
                      version_table const& table, outbox& out) -> void;
    auto answer_version_request(base::host_id const& from, version_request const& message,
                                version_table const& table, outbox& out) -> void;
    auto offer_newer(base::host_id const& from, offer const& message, version_table const& table,
                     outbox& out) -> void;
    auto sample_peers(std::size_t count, random_generator& random) const
        -> std::vector<base::host_id>;
    auto request_offers(random_generator& random, outbox& out) -> void;
    auto compare(bool all_known, version_table const& table, random_generator& random, outbox& out)
        -> void;
    auto await_offered(offer const& message, version_table const& table) -> void;

    std::vector<peer> peers;
    std::map<base::service_id, outstanding_request> requested;
    std::set<base::service_id> awaited;
    bool has_requested_offers = false;
    bool has_complete_offer = false;
    base::time_point next_compare = base::time_point::max();
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_REPLICATOR_H_
