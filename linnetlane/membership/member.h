// This host's part in the membership of the fleet.
//
// Detects hosts that are gone by probes whose cost doesn't grow with the fleet: a missed
// acknowledgement leads to probes by others, then to a suspicion, which the suspected host can
// refute, and only then is it declared gone. Changes ride along with the probes, and tables are
// compared now and then. Other data centres are followed through a few contacts.
//
//   auto self = member{own_record, timing{}, seed, now};
//   auto const commands = self.handle(tick{}, now);
//   // ... run the commands, and come back at self.next_deadline()
//
// A host that was paused must not act on what it believed before: `may_act` is false once no peer
// has heard of it for the length of its lease, which ends before any peer can declare it gone.

#ifndef LINNETLANE_MEMBERSHIP_MEMBER_H_
#define LINNETLANE_MEMBERSHIP_MEMBER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/membership/change_queue.h"
#include "linnetlane/membership/host_table.h"
#include "linnetlane/membership/messages.h"
#include "linnetlane/membership/probe_targets.h"

namespace linnetlane::membership {

// Spans and counts of membership. The sum of the first four bounds the time from a host's death to
// its eviction, as long as `lease` is less than the middle two with `suspicion`.
struct timing {
    base::duration probe_period = std::chrono::milliseconds{250};
    // From a probe to the probes by others, and from those to the suspicion.
    base::duration direct_ack = std::chrono::milliseconds{200};
    base::duration indirect_ack = std::chrono::milliseconds{200};
    base::duration suspicion = std::chrono::milliseconds{800};
    // In place of `suspicion` when the connection closed as well.
    base::duration suspicion_after_link_loss = std::chrono::milliseconds{300};
    // How long the loss of a connection counts as such a hint.
    base::duration link_loss_counts = std::chrono::seconds{2};
    // Acting on the view is allowed this long after the last probe that was acknowledged.
    base::duration lease = std::chrono::milliseconds{1000};
    // Between two steps: more than this means that the process was paused.
    base::duration pause = std::chrono::milliseconds{500};
    // Changes are collected this long before they are passed on at once.
    base::duration gossip_delay = std::chrono::milliseconds{10};
    // Between two offers of a table in the data centre, and to each other data centre.
    base::duration offer_period = std::chrono::seconds{2};
    base::duration distant_offer_period = std::chrono::seconds{1};
    // Between two tries to reach a host that is gone or only hinted at.
    base::duration reconnect_period = std::chrono::seconds{2};
    // The first wait for an answer to a join, doubled for each further try up to the most.
    base::duration join_first = std::chrono::milliseconds{250};
    base::duration join_most = std::chrono::seconds{4};
    // A host that no contact answers goes on alone after this.
    base::duration join_patience = std::chrono::seconds{3};
    // Another data centre counts as reachable this long after its last word.
    base::duration distant_heard = std::chrono::seconds{5};
    // How long it is remembered that an incarnation is gone.
    base::duration gone_kept = std::chrono::minutes{10};
    std::size_t ring_probes = 2;
    std::size_t helpers = 3;
    std::size_t gossip_fanout = 3;
    std::size_t changes_per_message = 6;
    std::size_t changes_per_gossip = 32;
    std::size_t distant_contacts = 2;
};

// Thread-compatible.
class member {
public:
    // `self` carries the host's address, data centre and the incarnation to start with.
    member(host_record self, timing limits, std::uint64_t seed, base::time_point now);

    auto handle(event const& happened, base::time_point now) -> std::vector<command>;
    // When `tick` is due at the latest.
    [[nodiscard]] auto next_deadline() const -> base::time_point;

    // Whether the host may act on its view: it is alone, or a peer heard of it within its lease.
    [[nodiscard]] auto may_act(base::time_point now) const -> bool;
    // Whether a peer has told what it knows, or none could be found.
    [[nodiscard]] auto joined() const -> bool { return this->has_joined; }
    [[nodiscard]] auto self() const -> host_record const& { return this->own; }
    [[nodiscard]] auto hosts() const -> host_table const& { return this->known; }
    // The holder of `duty` among the eligible hosts of this data centre.
    [[nodiscard]] auto holder_of(std::string_view duty) const -> std::optional<base::host_id>;
    // Whether this host is one of the first `count` of its data centre for `duty`.
    [[nodiscard]] auto holds(std::string_view duty, std::size_t count) const -> bool;
    // Whether this host is one of the two that read the platform for its data centre. Hosts that
    // aren't ready count, so that a data centre can start.
    [[nodiscard]] auto reads_platform() const -> bool;
    // The hosts to exchange documents with: the others of this data centre, and on its contacts
    // those of other data centres.
    [[nodiscard]] auto document_exchange_peers() const -> std::vector<host_record>;
    // Whether `host` itself sent a message within the last two probe periods, so that what is known
    // of its documents is fresh.
    [[nodiscard]] auto heard_recently(base::host_id const& host, base::time_point now) const
        -> bool;
    // Whether another data centre was heard of lately. Known on contacts only.
    [[nodiscard]] auto heard_from(base::data_centre_id const& data_centre,
                                  base::time_point now) const -> bool;

private:
    struct probe {
        base::host_id target;
        base::time_point sent_at;
        base::time_point deadline;
        bool indirect = false;
    };
    struct relay {
        base::host_id asker;
        probe_number asked;
        base::time_point deadline;
    };

    auto on(received const& notice, base::time_point now) -> void;
    auto on(link_lost const& notice, base::time_point now) -> void;
    auto on(host_list const& notice, base::time_point now) -> void;
    auto on(attributes_changed const& notice, base::time_point now) -> void;
    auto on(leave const& notice, base::time_point now) -> void;
    auto on(exit_notice const& notice, base::time_point now) -> void;
    auto on(tick const& notice, base::time_point now) -> void;

    auto answer(ping const& message, base::time_point now) -> void;
    auto answer(ack const& message, base::time_point now) -> void;
    auto answer(indirect_ping const& message, base::time_point now) -> void;
    auto answer(gossip const& message, base::time_point now) -> void;
    auto answer(table_offer const& message, base::time_point now) -> void;
    auto answer(table const& message, base::time_point now) -> void;

    auto notice_pause(base::time_point now) -> void;
    auto resume(base::time_point now) -> void;
    auto rejoin(base::incarnation above, base::time_point now) -> void;
    auto hear_of_self(host_record const& record, base::time_point now) -> void;
    auto take_in(host_record const& record, base::time_point now) -> void;
    auto take_in_all(std::vector<host_record> const& records, base::time_point now) -> void;
    auto follow_suspicion(host_record const& record, base::time_point now) -> void;
    auto report(merge_result result, host_record const& record) -> void;
    auto spread(host_record const& record, base::time_point now) -> void;
    auto say_of_self(base::time_point now) -> void;
    auto correct(host_record const& sender) -> void;

    auto run_due(base::time_point now) -> void;
    auto probe_peers(base::time_point now) -> void;
    auto start_probe(base::host_id const& target, base::time_point now) -> void;
    auto ask_helpers(probe_number number, probe const& asked) -> void;
    auto check_probes(base::time_point now) -> void;
    auto check_suspicions(base::time_point now) -> void;
    auto suspect(base::host_id const& host, base::time_point now) -> void;
    auto flush_gossip(base::time_point now) -> void;
    auto offer_table(base::time_point now) -> void;
    auto offer_to_distant(base::time_point now) -> void;
    auto reconnect(base::time_point now) -> void;
    auto try_join(base::time_point now) -> void;
    auto ask_for_table(base::host_id const& host, base::endpoint const& address) -> void;

    [[nodiscard]] auto is_contact() const -> bool;
    [[nodiscard]] auto contacts_of(base::data_centre_id const& data_centre) const
        -> std::vector<base::host_id>;
    [[nodiscard]] auto peers() const -> std::vector<base::host_id>;
    [[nodiscard]] auto is_alone() const -> bool;
    [[nodiscard]] auto hints_of(bool own_data_centre) const -> std::vector<host_hint>;
    [[nodiscard]] auto lost_hosts() const -> std::vector<host_hint>;
    [[nodiscard]] auto jittered(base::duration span) -> base::duration;
    auto post(base::host_id const& to, peer_message message) -> void;

    host_record own;
    timing spans;
    random_generator random;
    host_table known;
    change_queue changes;
    rotation turns;
    std::vector<host_hint> hints;
    std::map<probe_number, probe> probes;
    std::map<probe_number, relay> relays;
    std::map<base::host_id, base::time_point> suspicions;
    std::map<base::host_id, base::time_point> link_hints;
    std::map<base::data_centre_id, base::time_point> distant;
    // Until when a host counts as heard of lately.
    std::map<base::host_id, base::time_point> heard;
    probe_number last_probe;
    std::size_t offers = 0;
    std::size_t join_tries = 0;
    bool has_joined = false;
    bool retired = false;
    base::time_point last_step;
    base::time_point lease_deadline;
    base::time_point next_probe;
    base::time_point next_offer;
    base::time_point next_distant_offer;
    base::time_point next_reconnect;
    base::time_point next_join;
    base::time_point join_deadline;
    std::optional<base::time_point> next_gossip;
    std::vector<command> commands;
};

}  // namespace linnetlane::membership

#endif  // LINNETLANE_MEMBERSHIP_MEMBER_H_
