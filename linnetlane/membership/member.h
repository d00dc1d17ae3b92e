// This host's side of the fleet's membership protocol, a variant of SWIM.
//
// Detects failed hosts with probes whose cost per host doesn't grow with the fleet. If a host
// doesn't acknowledge a probe, other hosts probe it; if they get no answer either, it is suspected.
// Only if it doesn't refute the suspicion in time is it declared gone. Changes are piggybacked on
// the probes, and tables are compared periodically. Each data centre exchanges its table with the
// others through a few contacts.
//
//   auto self = member{own_record, timing{}, seed, now};
//   auto const commands = self.handle(tick{}, now);
//   // ... run the commands, and come back at self.next_deadline()
//
// A host that resumes after a pause must not act on its outdated view. `may_act` is therefore false
// once the host's lease has expired, unless it has no peers. The lease is counted from the sending
// of the last acknowledged probe and expires before any peer can declare the host gone.

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

// Timeouts, periods and counts of membership. The sum of the first four bounds the time from a
// host's failure until it is declared gone. `lease` must be less than the sum of
// `direct_ack_timeout`, `indirect_ack_timeout` and `suspicion_timeout`.
struct timing {
    base::duration probe_period = std::chrono::milliseconds{250};
    // From a probe to the indirect probes.
    base::duration direct_ack_timeout = std::chrono::milliseconds{200};
    // From the indirect probes to the suspicion.
    base::duration indirect_ack_timeout = std::chrono::milliseconds{200};
    // From the suspicion until the host is declared gone.
    base::duration suspicion_timeout = std::chrono::milliseconds{800};
    // Replaces `suspicion_timeout` if the connection was lost as well.
    base::duration suspicion_timeout_after_link_loss = std::chrono::milliseconds{300};
    // How long after the loss of a connection the shorter timeout applies.
    base::duration link_loss_window = std::chrono::seconds{2};
    // How long after sending the last acknowledged probe the host may act on its view.
    base::duration lease = std::chrono::milliseconds{1000};
    // A longer time between two calls of `handle` means that the process was paused.
    base::duration pause_threshold = std::chrono::milliseconds{500};
    // How long changes are collected before they are sent as gossip.
    base::duration gossip_delay = std::chrono::milliseconds{10};
    // Between two table offers to hosts of the own data centre.
    base::duration table_offer_period = std::chrono::seconds{2};
    // Between two table offers to each other data centre.
    base::duration distant_offer_period = std::chrono::seconds{1};
    // Between two tries to reach a host that is gone or known only from the host list.
    base::duration reconnect_period = std::chrono::seconds{2};
    // The wait before the second try to join; doubled after each further try, up to the maximum.
    base::duration join_initial_backoff = std::chrono::milliseconds{250};
    base::duration join_max_backoff = std::chrono::seconds{4};
    // A host that none of the hosts it tried to join has answered continues alone after this.
    base::duration join_timeout = std::chrono::seconds{3};
    // How long another data centre counts as reachable after its last message.
    base::duration distant_reachable_window = std::chrono::seconds{5};
    // How long the record of an incarnation that is gone is kept.
    base::duration gone_retention = std::chrono::minutes{10};
    // The number of successors on the ring (see `probe_targets.h`) that are probed in each period.
    // Also the number of hosts that are asked in each try to join.
    std::size_t ring_probes = 2;
    std::size_t indirect_probe_helpers = 3;
    std::size_t gossip_fanout = 3;
    std::size_t changes_per_message = 6;
    std::size_t changes_per_gossip = 32;
    std::size_t distant_contacts = 2;
};

// Thread-compatible.
class member {
public:
    // `self` holds the host's address, data centre and first incarnation.
    member(host_record self, timing limits, std::uint64_t seed, base::time_point now);

    auto handle(event const& happened, base::time_point now) -> std::vector<command>;
    // The latest time at which the caller must pass in a `tick`.
    [[nodiscard]] auto next_deadline() const -> base::time_point;

    // Whether the host may act on its view: it has neither exited nor been superseded, and it has
    // no peers or its lease hasn't expired.
    [[nodiscard]] auto may_act(base::time_point now) const -> bool;
    // Whether a message from a host of this data centre has arrived, or the host continues alone.
    [[nodiscard]] auto joined() const -> bool { return this->has_joined; }
    [[nodiscard]] auto self() const -> host_record const& { return this->own; }
    [[nodiscard]] auto hosts() const -> host_table const& { return this->known_hosts; }
    // The holder of `duty`, a task that is assigned by rendezvous hashing (see `rendezvous.h`) to
    // an eligible host of this data centre; nothing if no host is eligible.
    [[nodiscard]] auto holder_of(std::string_view duty) const -> std::optional<base::host_id>;
    // Whether this host is among the `count` eligible hosts of its data centre that rank highest
    // for `duty`.
    [[nodiscard]] auto holds(std::string_view duty, std::size_t count) const -> bool;
    // Whether this host is one of the two that read the platform for its data centre. Hosts that
    // aren't ready are eligible, so that a data centre can start.
    [[nodiscard]] auto reads_platform() const -> bool;
    // The hosts to exchange documents with: the other hosts of this data centre and, if this host
    // is a contact, the contacts of other data centres.
    [[nodiscard]] auto document_exchange_peers() const -> std::vector<host_record>;
    // Whether `host` sent a message within the last two probe periods, so that its digest of
    // documents is up to date.
    [[nodiscard]] auto heard_recently(base::host_id const& host, base::time_point now) const
        -> bool;
    // Whether a host of `data_centre`, which is another data centre, sent a message within
    // `distant_reachable_window`. Only contacts know this.
    [[nodiscard]] auto is_distant_reachable(base::data_centre_id const& data_centre,
                                            base::time_point now) const -> bool;

private:
    struct probe {
        base::host_id target;
        base::time_point sent_at;
        base::time_point deadline;
        bool indirect = false;
    };
    // A ping that this host sends on behalf of another.
    struct relay {
        base::host_id requester;
        probe_number requested_probe;
        base::time_point deadline;
    };

    auto on(received const& notice, base::time_point now) -> void;
    auto on(link_lost const& notice, base::time_point now) -> void;
    auto on(host_list const& notice, base::time_point now) -> void;
    auto on(attributes_changed const& notice, base::time_point now) -> void;
    auto on(leave const& notice, base::time_point now) -> void;
    auto on(exit_notice const& notice, base::time_point now) -> void;
    auto on(tick const& notice, base::time_point now) -> void;

    auto on_message(ping const& message, base::time_point now) -> void;
    auto on_message(ack const& message, base::time_point now) -> void;
    auto on_message(indirect_ping const& message, base::time_point now) -> void;
    auto on_message(gossip const& message, base::time_point now) -> void;
    auto on_message(table_offer const& message, base::time_point now) -> void;
    auto on_message(table const& message, base::time_point now) -> void;

    auto detect_pause(base::time_point now) -> void;
    auto reset_after_pause(base::time_point now) -> void;
    auto rejoin(base::incarnation above, base::time_point now) -> void;
    auto handle_record_of_self(host_record const& record, base::time_point now) -> void;
    auto merge_record(host_record const& record, base::time_point now) -> void;
    auto merge_records(std::vector<host_record> const& records, base::time_point now) -> void;
    auto update_suspicion(host_record const& record, base::time_point now) -> void;
    auto report_change(merge_result result, host_record const& record) -> void;
    auto queue_change(host_record const& record, base::time_point now) -> void;
    auto publish_self(base::time_point now) -> void;
    auto send_correction(host_record const& sender) -> void;

    auto run_due(base::time_point now) -> void;
    auto probe_peers(base::time_point now) -> void;
    auto start_probe(base::host_id const& target, base::time_point now) -> void;
    auto request_indirect_probes(probe_number number, probe const& unanswered) -> void;
    auto check_probes(base::time_point now) -> void;
    auto check_suspicions(base::time_point now) -> void;
    auto suspect(base::host_id const& host, base::time_point now) -> void;
    auto flush_gossip(base::time_point now) -> void;
    auto offer_table(base::time_point now) -> void;
    auto offer_table_to_distant(base::time_point now) -> void;
    auto reconnect(base::time_point now) -> void;
    auto try_join(base::time_point now) -> void;
    auto request_table(base::host_id const& host, base::endpoint const& address) -> void;

    [[nodiscard]] auto is_contact() const -> bool;
    [[nodiscard]] auto contacts_of(base::data_centre_id const& data_centre) const
        -> std::vector<base::host_id>;
    [[nodiscard]] auto peers() const -> std::vector<base::host_id>;
    [[nodiscard]] auto is_alone() const -> bool;
    [[nodiscard]] auto hints_of(bool own_data_centre) const -> std::vector<host_hint>;
    [[nodiscard]] auto reconnect_candidates() const -> std::vector<host_hint>;
    [[nodiscard]] auto jittered(base::duration span) -> base::duration;
    auto send_to(base::host_id const& to, peer_message message) -> void;

    host_record own;
    timing parameters;
    random_generator random;
    host_table known_hosts;
    change_queue changes;
    peer_rotation probe_rotation;
    std::vector<host_hint> hints;
    std::map<probe_number, probe> probes;
    std::map<probe_number, relay> relays;
    std::map<base::host_id, base::time_point> suspicions;
    std::map<base::host_id, base::time_point> link_loss_until;
    std::map<base::data_centre_id, base::time_point> distant_reachable_until;
    // Until when a host counts as heard recently.
    std::map<base::host_id, base::time_point> heard_until;
    probe_number last_probe;
    std::size_t offers = 0;
    std::size_t join_tries = 0;
    bool has_joined = false;
    // The host has exited or was superseded by a later process, and ignores all events.
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
