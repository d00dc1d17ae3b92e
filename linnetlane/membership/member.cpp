#include "linnetlane/membership/member.h"

#include <algorithm>
#include <set>
#include <utility>
#include <variant>

#include "linnetlane/membership/rendezvous.h"

namespace linnetlane::membership {

namespace {

constexpr auto contact_duty = "contact";
constexpr auto reader_duty = "reader";
constexpr auto readers_in_data_centre = std::size_t{2};
// Jitter multiplies a duration by a uniformly distributed factor.
constexpr auto min_jitter_factor = 0.5;
constexpr auto max_jitter_factor = 1.5;
// Enough doublings of `join_initial_backoff` to reach `join_max_backoff`.
constexpr auto max_doublings = std::size_t{16};

auto sender_of(peer_message const& message) -> host_record const& {
    return std::visit([](auto const& each) -> host_record const& { return each.sender; }, message);
}

}  // namespace

member::member(host_record self, timing limits, std::uint64_t seed, base::time_point now)
    : own(std::move(self)),
      parameters(limits),
      random(seed),
      last_step(now),
      next_probe(now),
      next_offer(now + limits.table_offer_period),
      next_distant_offer(now + limits.distant_offer_period),
      next_reconnect(now + limits.reconnect_period),
      join_deadline(now + limits.join_timeout) {
    this->known_hosts.merge(this->own, now);
    // The hosts of a restarted fleet don't all send their requests at the same time.
    this->next_join =
        now + this->jittered(limits.join_initial_backoff) - (limits.join_initial_backoff / 2);
}

auto member::handle(event const& happened, base::time_point now) -> std::vector<command> {
    this->commands.clear();
    if (this->retired) {
        return {};
    }
    this->detect_pause(now);
    this->last_step = now;
    std::visit([&](auto const& each) { this->on(each, now); }, happened);
    this->run_due(now);
    return std::move(this->commands);
}

auto member::next_deadline() const -> base::time_point {
    if (this->retired) {
        return base::time_point::max();
    }
    auto next = std::min(
        {this->next_probe, this->next_offer, this->next_distant_offer, this->next_reconnect});
    if (!this->has_joined) {
        next = std::min(next, this->next_join);
    }
    if (this->next_gossip) {
        next = std::min(next, *this->next_gossip);
    }
    for (auto const& [number, each] : this->probes) {
        next = std::min(next, each.deadline);
    }
    for (auto const& [host, deadline] : this->suspicions) {
        next = std::min(next, deadline);
    }
    return next;
}

auto member::may_act(base::time_point now) const -> bool {
    if (this->retired) {
        return false;
    }
    return this->is_alone() || now < this->lease_deadline;
}

auto member::holder_of(std::string_view duty) const -> std::optional<base::host_id> {
    return winner(duty, this->known_hosts.eligible_in(this->own.data_centre));
}

auto member::holds(std::string_view duty, std::size_t count) const -> bool {
    auto const holders = ranked(duty, this->known_hosts.eligible_in(this->own.data_centre), count);
    return std::find(holders.begin(), holders.end(), this->own.host) != holders.end();
}

auto member::reads_platform() const -> bool {
    auto staying = this->known_hosts.not_leaving_in(this->own.data_centre);
    auto const readers = ranked(reader_duty, staying, readers_in_data_centre);
    return std::find(readers.begin(), readers.end(), this->own.host) != readers.end();
}

auto member::document_exchange_peers() const -> std::vector<host_record> {
    auto hosts = this->peers();
    if (this->is_contact()) {
        for (auto const& there : this->known_hosts.data_centres()) {
            auto const distant_hosts = this->contacts_of(there);
            if (there != this->own.data_centre) {
                hosts.insert(hosts.end(), distant_hosts.begin(), distant_hosts.end());
            }
        }
    }
    auto partners = std::vector<host_record>{};
    for (auto const& host : hosts) {
        partners.push_back(*this->known_hosts.find(host));
    }
    return partners;
}

auto member::heard_recently(base::host_id const& host, base::time_point now) const -> bool {
    auto const found = this->heard_until.find(host);
    return found != this->heard_until.end() && now < found->second;
}

auto member::is_distant_reachable(base::data_centre_id const& data_centre,
                                  base::time_point now) const -> bool {
    auto const found = this->distant_reachable_until.find(data_centre);
    return found != this->distant_reachable_until.end() && now < found->second;
}

// ---- Events ----

auto member::on(received const& notice, base::time_point now) -> void {
    auto const& sender = sender_of(notice.message);
    if (sender.host == this->own.host) {
        this->handle_record_of_self(sender, now);
        return;
    }
    this->merge_record(sender, now);
    this->heard_until[sender.host] = now + (2 * this->parameters.probe_period);
    if (sender.data_centre == this->own.data_centre) {
        this->has_joined = true;
    } else {
        this->distant_reachable_until[sender.data_centre] =
            now + this->parameters.distant_reachable_window;
    }
    std::visit([&](auto const& each) { this->on_message(each, now); }, notice.message);
    this->send_correction(sender);
}

auto member::on(link_lost const& notice, base::time_point now) -> void {
    auto const* const record = this->known_hosts.find(notice.host);
    auto const watched = record != nullptr && record->liveness != liveness::gone &&
                         record->data_centre == this->own.data_centre;
    if (!watched) {
        return;
    }
    this->link_loss_until[notice.host] = now + this->parameters.link_loss_window;
    auto const suspicion = this->suspicions.find(notice.host);
    if (suspicion != this->suspicions.end()) {
        auto const shortened = now + this->parameters.suspicion_timeout_after_link_loss;
        suspicion->second = std::min(suspicion->second, shortened);
        return;
    }
    this->start_probe(notice.host, now);
}

auto member::on(host_list const& notice, base::time_point /*now*/) -> void {
    this->hints = notice.hosts;
}

auto member::on(attributes_changed const& notice, base::time_point now) -> void {
    auto const readiness_changed = this->own.ready != notice.ready;
    if (!readiness_changed && this->own.documents_digest == notice.documents_digest) {
        return;
    }
    this->own.ready = notice.ready;
    this->own.documents_digest = notice.documents_digest;
    this->own.revision = this->own.revision.next();
    // If only the digest changed, this host's own probes carry it to the others.
    if (readiness_changed) {
        this->publish_self(now);
    } else {
        this->known_hosts.merge(this->own, now);
    }
}

auto member::on(leave const& /*notice*/, base::time_point now) -> void {
    this->own.leaving = true;
    this->own.revision = this->own.revision.next();
    this->publish_self(now);
    this->flush_gossip(now);
}

auto member::on(exit_notice const& /*notice*/, base::time_point now) -> void {
    this->own.liveness = liveness::gone;
    this->publish_self(now);
    this->flush_gossip(now);
    this->retired = true;
}

auto member::on(tick const& /*notice*/, base::time_point /*now*/) -> void {}

// ---- Messages ----

auto member::on_message(ping const& message, base::time_point now) -> void {
    this->merge_records(message.changes, now);
    if (message.target != this->own.host) {
        return;
    }
    this->send_to(message.sender.host,
                  ack{message.probe, this->own, this->own.host, this->own.incarnation,
                      this->changes.take(this->parameters.changes_per_message)});
}

auto member::on_message(ack const& message, base::time_point now) -> void {
    this->merge_records(message.changes, now);
    auto const answered = this->probes.find(message.probe);
    if (answered != this->probes.end() && answered->second.target == message.subject) {
        this->lease_deadline =
            std::max(this->lease_deadline, answered->second.sent_at + this->parameters.lease);
        this->link_loss_until.erase(message.subject);
        this->probes.erase(answered);
        return;
    }
    auto const relayed = this->relays.find(message.probe);
    if (relayed != this->relays.end()) {
        this->send_to(relayed->second.requester, ack{relayed->second.requested_probe,
                                                     this->own,
                                                     message.subject,
                                                     message.subject_incarnation,
                                                     {}});
        this->relays.erase(relayed);
    }
}

auto member::on_message(indirect_ping const& message, base::time_point now) -> void {
    this->last_probe = this->last_probe.next();
    this->relays[this->last_probe] =
        relay{message.sender.host, message.probe, now + this->parameters.indirect_ack_timeout};
    this->send_to(message.target, ping{this->last_probe, this->own, message.target, {}});
}

auto member::on_message(gossip const& message, base::time_point now) -> void {
    this->merge_records(message.changes, now);
}

auto member::on_message(table_offer const& message, base::time_point /*now*/) -> void {
    if (this->known_hosts.digest_of(message.data_centre) == message.table_digest) {
        return;
    }
    this->send_to(message.sender.host,
                  table{this->own, message.data_centre,
                        this->known_hosts.records_of(message.data_centre), true});
}

auto member::on_message(table const& message, base::time_point now) -> void {
    if (!message.wants_answer) {
        this->merge_records(message.records, now);
        return;
    }
    auto missing = table{this->own, message.data_centre, {}, false};
    for (auto const& record : this->known_hosts.records_of(message.data_centre)) {
        auto const same = [&](host_record const& other) { return other.host == record.host; };
        auto const theirs = std::find_if(message.records.begin(), message.records.end(), same);
        if (theirs == message.records.end() || supersedes(record, *theirs)) {
            missing.records.push_back(record);
        }
    }
    this->merge_records(message.records, now);
    this->send_to(message.sender.host, std::move(missing));
}

// ---- Records ----

auto member::detect_pause(base::time_point now) -> void {
    if (now - this->last_step <= this->parameters.pause_threshold) {
        return;
    }
    this->reset_after_pause(now);
    if (!this->may_act(now)) {
        this->rejoin(this->own.incarnation, now);
    }
}

// During a pause this host didn't read the answers of others, so missing ones say nothing about
// them.
auto member::reset_after_pause(base::time_point now) -> void {
    this->probes.clear();
    this->relays.clear();
    for (auto& [host, deadline] : this->suspicions) {
        deadline = now + this->parameters.suspicion_timeout;
    }
    this->next_probe = now;
}

auto member::rejoin(base::incarnation above, base::time_point now) -> void {
    this->own.incarnation = above.next();
    this->own.revision = membership::revision{};
    this->own.liveness = liveness::alive;
    // Only acknowledgements to the new incarnation extend the lease.
    this->lease_deadline = base::time_point{};
    this->probes.clear();
    this->next_probe = now;
    this->next_offer = now;
    this->commands.emplace_back(rejoined{this->own.incarnation});
    this->publish_self(now);
}

auto member::handle_record_of_self(host_record const& record, base::time_point now) -> void {
    if (record.incarnation < this->own.incarnation) {
        return;
    }
    auto const is_gone = record.liveness == liveness::gone;
    if (record.incarnation > this->own.incarnation) {
        // Before it has joined, the host may receive records of its own earlier incarnations.
        if (is_gone || !this->has_joined) {
            this->rejoin(record.incarnation, now);
            return;
        }
        this->commands.emplace_back(superseded{record.incarnation});
        this->retired = true;
        return;
    }
    if (is_gone) {
        this->rejoin(record.incarnation, now);
        return;
    }
    if (supersedes(record, this->own)) {
        this->own.revision = record.revision.next();
        this->publish_self(now);
    }
}

auto member::merge_record(host_record const& record, base::time_point now) -> void {
    if (record.host == this->own.host) {
        this->handle_record_of_self(record, now);
        return;
    }
    auto const result = this->known_hosts.merge(record, now);
    if (result == merge_result::stale) {
        return;
    }
    this->update_suspicion(record, now);
    this->report_change(result, record);
    if (result != merge_result::refreshed) {
        this->queue_change(record, now);
    }
}

auto member::merge_records(std::vector<host_record> const& records, base::time_point now) -> void {
    for (auto const& record : records) {
        this->merge_record(record, now);
    }
}

auto member::update_suspicion(host_record const& record, base::time_point now) -> void {
    auto const here = record.data_centre == this->own.data_centre;
    if (record.liveness != liveness::suspected || !here) {
        this->suspicions.erase(record.host);
        return;
    }
    auto const loss = this->link_loss_until.find(record.host);
    auto const connection_lost = loss != this->link_loss_until.end() && now < loss->second;
    auto const wait = connection_lost ? this->parameters.suspicion_timeout_after_link_loss
                                      : this->parameters.suspicion_timeout;
    this->suspicions[record.host] = now + wait;
}

auto member::report_change(merge_result result, host_record const& record) -> void {
    switch (result) {
        case merge_result::joined:
            this->commands.emplace_back(host_changed{change_kind::joined, record});
            break;
        case merge_result::gone:
            this->link_loss_until.erase(record.host);
            this->heard_until.erase(record.host);
            this->commands.emplace_back(host_changed{change_kind::gone, record});
            break;
        case merge_result::leaving:
            this->commands.emplace_back(host_changed{change_kind::leaving, record});
            break;
        case merge_result::refreshed:
        case merge_result::readiness:
            this->commands.emplace_back(host_changed{change_kind::attributes, record});
            break;
        case merge_result::stale:
        case merge_result::suspected:
        case merge_result::refuted:
            break;
    }
}

auto member::queue_change(host_record const& record, base::time_point now) -> void {
    this->changes.add(record, this->known_hosts.size());
    if (!this->next_gossip) {
        this->next_gossip = now + this->parameters.gossip_delay;
    }
}

auto member::publish_self(base::time_point now) -> void {
    this->known_hosts.merge(this->own, now);
    this->queue_change(this->own, now);
}

// Sends a host that is recorded as suspected or gone that record, so that it can refute it.
auto member::send_correction(host_record const& sender) -> void {
    auto const* const record = this->known_hosts.find(sender.host);
    auto const disputed = record != nullptr && record->liveness != liveness::alive &&
                          record->incarnation >= sender.incarnation;
    if (disputed && sender.liveness != liveness::gone) {
        this->send_to(sender.host, gossip{this->own, {*record}});
    }
}

// ---- Deadlines ----

auto member::run_due(base::time_point now) -> void {
    if (this->retired) {
        return;
    }
    if (!this->has_joined && now >= this->next_join) {
        this->try_join(now);
    }
    this->check_probes(now);
    this->check_suspicions(now);
    if (now >= this->next_probe) {
        this->probe_peers(now);
    }
    if (now >= this->next_offer) {
        this->offer_table(now);
    }
    if (now >= this->next_distant_offer) {
        this->offer_table_to_distant(now);
    }
    if (now >= this->next_reconnect) {
        this->reconnect(now);
    }
    if (this->next_gossip && now >= *this->next_gossip) {
        this->flush_gossip(now);
    }
}

auto member::probe_peers(base::time_point now) -> void {
    this->next_probe = now + this->parameters.probe_period;
    std::erase_if(this->relays, [&](auto const& each) { return each.second.deadline <= now; });
    auto const present = this->known_hosts.present_in(this->own.data_centre);
    auto targets = ring_neighbours(this->own.host, present, this->parameters.ring_probes);
    auto const extra = this->probe_rotation.next(this->own.host, present, this->random);
    if (std::find(targets.begin(), targets.end(), extra) == targets.end()) {
        targets.push_back(extra);
    }
    std::erase(targets, this->own.host);
    for (auto const& target : targets) {
        this->start_probe(target, now);
    }
}

auto member::start_probe(base::host_id const& target, base::time_point now) -> void {
    this->last_probe = this->last_probe.next();
    this->probes[this->last_probe] =
        probe{target, now, now + this->parameters.direct_ack_timeout, false};
    auto carried = this->changes.take(this->parameters.changes_per_message);
    auto const* const record = this->known_hosts.find(target);
    if (record->liveness == liveness::suspected) {
        carried.push_back(*record);
    }
    this->send_to(target, ping{this->last_probe, this->own, target, std::move(carried)});
}

auto member::request_indirect_probes(probe_number number, probe const& unanswered) -> void {
    auto others = this->peers();
    std::erase(others, unanswered.target);
    auto const helpers = random_peers(this->own.host, std::move(others),
                                      this->parameters.indirect_probe_helpers, this->random);
    for (auto const& helper : helpers) {
        this->send_to(helper, indirect_ping{number, this->own, unanswered.target});
    }
    // The first ping may have been lost.
    this->send_to(unanswered.target, ping{number, this->own, unanswered.target, {}});
}

auto member::check_probes(base::time_point now) -> void {
    auto failed = std::vector<base::host_id>{};
    for (auto& [number, each] : this->probes) {
        if (now < each.deadline) {
            continue;
        }
        if (each.indirect) {
            failed.push_back(each.target);
            continue;
        }
        each.indirect = true;
        each.deadline = now + this->parameters.indirect_ack_timeout;
        this->request_indirect_probes(number, each);
    }
    std::erase_if(this->probes, [&](auto const& each) { return each.second.deadline <= now; });
    for (auto const& host : failed) {
        this->suspect(host, now);
    }
}

auto member::suspect(base::host_id const& host, base::time_point now) -> void {
    auto const* const record = this->known_hosts.find(host);
    if (record == nullptr || record->liveness != liveness::alive) {
        return;
    }
    auto suspected_record = *record;
    suspected_record.liveness = liveness::suspected;
    this->merge_record(suspected_record, now);
}

auto member::check_suspicions(base::time_point now) -> void {
    auto due = std::vector<base::host_id>{};
    for (auto const& [host, deadline] : this->suspicions) {
        if (now >= deadline) {
            due.push_back(host);
        }
    }
    for (auto const& host : due) {
        auto gone = *this->known_hosts.find(host);
        gone.liveness = liveness::gone;
        this->merge_record(gone, now);
    }
}

auto member::flush_gossip(base::time_point /*now*/) -> void {
    this->next_gossip.reset();
    auto const targets =
        random_peers(this->own.host, this->peers(), this->parameters.gossip_fanout, this->random);
    for (auto const& target : targets) {
        auto carried = this->changes.take(this->parameters.changes_per_gossip);
        if (!carried.empty()) {
            this->send_to(target, gossip{this->own, std::move(carried)});
        }
    }
}

auto member::offer_table(base::time_point now) -> void {
    this->next_offer = now + this->jittered(this->parameters.table_offer_period);
    this->known_hosts.remove_gone(now - this->parameters.gone_retention);
    auto const data_centres = this->known_hosts.data_centres();
    // Every other offer is of this host's data centre.
    auto const& offered = this->offers % 2 == 0
                              ? this->own.data_centre
                              : data_centres[(this->offers / 2) % data_centres.size()];
    ++this->offers;
    for (auto const& peer : random_peers(this->own.host, this->peers(), 1, this->random)) {
        this->send_to(peer, table_offer{this->own, offered, this->known_hosts.digest_of(offered)});
    }
}

auto member::offer_table_to_distant(base::time_point now) -> void {
    this->next_distant_offer = now + this->jittered(this->parameters.distant_offer_period);
    auto const& here = this->own.data_centre;
    if (!this->is_contact()) {
        return;
    }
    auto const offer = table_offer{this->own, here, this->known_hosts.digest_of(here)};
    auto addressed = std::set<base::data_centre_id>{here};
    for (auto const& there : this->known_hosts.data_centres()) {
        auto const theirs = this->contacts_of(there);
        if (there == here || theirs.empty()) {
            continue;
        }
        addressed.insert(there);
        for (auto const& contact : random_peers(this->own.host, theirs, 1, this->random)) {
            this->send_to(contact, offer);
        }
    }
    auto hinted = this->hints_of(false);
    std::shuffle(hinted.begin(), hinted.end(), this->random);
    for (auto const& hint : hinted) {
        if (addressed.insert(hint.data_centre).second) {
            this->commands.emplace_back(send{hint.host, hint.address, offer});
        }
    }
}

auto member::reconnect(base::time_point now) -> void {
    this->next_reconnect = now + this->jittered(this->parameters.reconnect_period);
    auto const lost = this->reconnect_candidates();
    if (lost.empty()) {
        return;
    }
    auto pick = std::uniform_int_distribution<std::size_t>{0, lost.size() - 1};
    auto const& chosen = lost[pick(this->random)];
    this->request_table(chosen.host, chosen.address);
}

auto member::try_join(base::time_point now) -> void {
    auto contacts = this->hints_of(true);
    if (contacts.empty() || now >= this->join_deadline) {
        this->has_joined = true;
        return;
    }
    auto const doublings = std::min(this->join_tries, max_doublings);
    auto const wait = this->parameters.join_initial_backoff * (std::int64_t{1} << doublings);
    this->next_join = now + this->jittered(std::min(wait, this->parameters.join_max_backoff));
    ++this->join_tries;
    std::shuffle(contacts.begin(), contacts.end(), this->random);
    contacts.resize(std::min(contacts.size(), this->parameters.ring_probes));
    for (auto const& contact : contacts) {
        this->request_table(contact.host, contact.address);
    }
}

auto member::request_table(base::host_id const& host, base::endpoint const& address) -> void {
    this->commands.emplace_back(
        send{host, address, table{this->own, this->own.data_centre, {this->own}, true}});
}

// ---- Helpers ----

auto member::is_contact() const -> bool {
    auto const contacts = this->contacts_of(this->own.data_centre);
    return std::find(contacts.begin(), contacts.end(), this->own.host) != contacts.end();
}

auto member::contacts_of(base::data_centre_id const& data_centre) const
    -> std::vector<base::host_id> {
    return ranked(contact_duty, this->known_hosts.present_in(data_centre),
                  this->parameters.distant_contacts);
}

auto member::peers() const -> std::vector<base::host_id> {
    auto present = this->known_hosts.present_in(this->own.data_centre);
    std::erase(present, this->own.host);
    return present;
}

auto member::is_alone() const -> bool {
    return this->peers().empty();
}

auto member::hints_of(bool own_data_centre) const -> std::vector<host_hint> {
    auto found = std::vector<host_hint>{};
    for (auto const& hint : this->hints) {
        auto const here = hint.data_centre == this->own.data_centre;
        if (hint.host != this->own.host && here == own_data_centre) {
            found.push_back(hint);
        }
    }
    return found;
}

// The hosts of this data centre that are gone, or that are known only from the host list.
auto member::reconnect_candidates() const -> std::vector<host_hint> {
    auto lost = std::vector<host_hint>{};
    for (auto const& record : this->known_hosts.records_of(this->own.data_centre)) {
        if (record.liveness == liveness::gone) {
            lost.push_back({record.host, record.data_centre, record.address, false});
        }
    }
    for (auto const& hint : this->hints_of(true)) {
        if (this->known_hosts.find(hint.host) == nullptr) {
            lost.push_back(hint);
        }
    }
    return lost;
}

auto member::jittered(base::duration span) -> base::duration {
    auto factor = std::uniform_real_distribution<double>{min_jitter_factor, max_jitter_factor};
    return base::from_seconds(base::to_seconds(span) * factor(this->random));
}

auto member::send_to(base::host_id const& to, peer_message message) -> void {
    auto const* const record = this->known_hosts.find(to);
    if (record != nullptr) {
        this->commands.emplace_back(send{to, record->address, std::move(message)});
    }
}

}  // namespace linnetlane::membership
