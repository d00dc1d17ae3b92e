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
// Jitter spreads a span evenly from half to one and a half of it.
constexpr auto least_jitter = 0.5;
constexpr auto most_jitter = 1.5;
// Doublings of the first wait to join before `join_most` surely holds.
constexpr auto most_doublings = std::size_t{16};

auto sender_of(peer_message const& message) -> host_record const& {
    return std::visit([](auto const& each) -> host_record const& { return each.sender; }, message);
}

}  // namespace

member::member(host_record self, timing limits, std::uint64_t seed, base::time_point now)
    : own(std::move(self)),
      spans(limits),
      random(seed),
      last_step(now),
      next_probe(now),
      next_offer(now + limits.offer_period),
      next_distant_offer(now + limits.distant_offer_period),
      next_reconnect(now + limits.reconnect_period),
      join_deadline(now + limits.join_patience) {
    this->known.merge(this->own, now);
    // A restarted fleet does not ask all at once.
    this->next_join = now + this->jittered(limits.join_first) - (limits.join_first / 2);
}

auto member::handle(event const& happened, base::time_point now) -> std::vector<command> {
    this->commands.clear();
    if (this->retired) {
        return {};
    }
    this->notice_pause(now);
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
    return winner(duty, this->known.eligible_in(this->own.data_centre));
}

auto member::holds(std::string_view duty, std::size_t count) const -> bool {
    auto const holders = ranked(duty, this->known.eligible_in(this->own.data_centre), count);
    return std::find(holders.begin(), holders.end(), this->own.host) != holders.end();
}

auto member::reads_platform() const -> bool {
    auto staying = this->known.staying_in(this->own.data_centre);
    auto const readers = ranked(reader_duty, staying, readers_in_data_centre);
    return std::find(readers.begin(), readers.end(), this->own.host) != readers.end();
}

auto member::document_exchange_peers() const -> std::vector<host_record> {
    auto hosts = this->peers();
    if (this->is_contact()) {
        for (auto const& there : this->known.data_centres()) {
            auto const distant_hosts = this->contacts_of(there);
            if (there != this->own.data_centre) {
                hosts.insert(hosts.end(), distant_hosts.begin(), distant_hosts.end());
            }
        }
    }
    auto partners = std::vector<host_record>{};
    for (auto const& host : hosts) {
        partners.push_back(*this->known.find(host));
    }
    return partners;
}

auto member::heard_recently(base::host_id const& host, base::time_point now) const -> bool {
    auto const found = this->heard.find(host);
    return found != this->heard.end() && now < found->second;
}

auto member::heard_from(base::data_centre_id const& data_centre, base::time_point now) const
    -> bool {
    auto const found = this->distant.find(data_centre);
    return found != this->distant.end() && now < found->second;
}

// ---- Events ----

auto member::on(received const& notice, base::time_point now) -> void {
    auto const& sender = sender_of(notice.message);
    if (sender.host == this->own.host) {
        this->hear_of_self(sender, now);
        return;
    }
    this->take_in(sender, now);
    this->heard[sender.host] = now + (2 * this->spans.probe_period);
    if (sender.data_centre == this->own.data_centre) {
        this->has_joined = true;
    } else {
        this->distant[sender.data_centre] = now + this->spans.distant_heard;
    }
    std::visit([&](auto const& each) { this->answer(each, now); }, notice.message);
    this->correct(sender);
}

auto member::on(link_lost const& notice, base::time_point now) -> void {
    auto const* const record = this->known.find(notice.host);
    auto const watched = record != nullptr && record->liveness != liveness::gone &&
                         record->data_centre == this->own.data_centre;
    if (!watched) {
        return;
    }
    this->link_hints[notice.host] = now + this->spans.link_loss_counts;
    auto const suspicion = this->suspicions.find(notice.host);
    if (suspicion != this->suspicions.end()) {
        auto const sooner = now + this->spans.suspicion_after_link_loss;
        suspicion->second = std::min(suspicion->second, sooner);
        return;
    }
    this->start_probe(notice.host, now);
}

auto member::on(host_list const& notice, base::time_point /*now*/) -> void {
    this->hints = notice.hosts;
}

auto member::on(attributes_changed const& notice, base::time_point now) -> void {
    auto const spoken = this->own.ready != notice.ready;
    if (!spoken && this->own.documents_digest == notice.documents_digest) {
        return;
    }
    this->own.ready = notice.ready;
    this->own.documents_digest = notice.documents_digest;
    this->own.revision = this->own.revision.next();
    // A new digest alone rides on this host's own probes.
    if (spoken) {
        this->say_of_self(now);
    } else {
        this->known.merge(this->own, now);
    }
}

auto member::on(leave const& /*notice*/, base::time_point now) -> void {
    this->own.leaving = true;
    this->own.revision = this->own.revision.next();
    this->say_of_self(now);
    this->flush_gossip(now);
}

auto member::on(exit_notice const& /*notice*/, base::time_point now) -> void {
    this->own.liveness = liveness::gone;
    this->say_of_self(now);
    this->flush_gossip(now);
    this->retired = true;
}

auto member::on(tick const& /*notice*/, base::time_point /*now*/) -> void {}

// ---- Messages ----

auto member::answer(ping const& message, base::time_point now) -> void {
    this->take_in_all(message.changes, now);
    if (message.target != this->own.host) {
        return;
    }
    this->post(message.sender.host,
               ack{message.probe, this->own, this->own.host, this->own.incarnation,
                   this->changes.take(this->spans.changes_per_message)});
}

auto member::answer(ack const& message, base::time_point now) -> void {
    this->take_in_all(message.changes, now);
    auto const asked = this->probes.find(message.probe);
    if (asked != this->probes.end() && asked->second.target == message.subject) {
        this->lease_deadline =
            std::max(this->lease_deadline, asked->second.sent_at + this->spans.lease);
        this->link_hints.erase(message.subject);
        this->probes.erase(asked);
        return;
    }
    auto const passed_on = this->relays.find(message.probe);
    if (passed_on != this->relays.end()) {
        this->post(passed_on->second.asker, ack{passed_on->second.asked,
                                                this->own,
                                                message.subject,
                                                message.subject_incarnation,
                                                {}});
        this->relays.erase(passed_on);
    }
}

auto member::answer(indirect_ping const& message, base::time_point now) -> void {
    this->last_probe = this->last_probe.next();
    this->relays[this->last_probe] =
        relay{message.sender.host, message.probe, now + this->spans.indirect_ack};
    this->post(message.target, ping{this->last_probe, this->own, message.target, {}});
}

auto member::answer(gossip const& message, base::time_point now) -> void {
    this->take_in_all(message.changes, now);
}

auto member::answer(table_offer const& message, base::time_point /*now*/) -> void {
    if (this->known.digest_of(message.data_centre) == message.table_digest) {
        return;
    }
    this->post(message.sender.host, table{this->own, message.data_centre,
                                          this->known.records_of(message.data_centre), true});
}

auto member::answer(table const& message, base::time_point now) -> void {
    if (!message.wants_answer) {
        this->take_in_all(message.records, now);
        return;
    }
    auto lacking = table{this->own, message.data_centre, {}, false};
    for (auto const& record : this->known.records_of(message.data_centre)) {
        auto const same = [&](host_record const& other) { return other.host == record.host; };
        auto const theirs = std::find_if(message.records.begin(), message.records.end(), same);
        if (theirs == message.records.end() || supersedes(record, *theirs)) {
            lacking.records.push_back(record);
        }
    }
    this->take_in_all(message.records, now);
    this->post(message.sender.host, std::move(lacking));
}

// ---- What is known ----

auto member::notice_pause(base::time_point now) -> void {
    if (now - this->last_step <= this->spans.pause) {
        return;
    }
    this->resume(now);
    if (!this->may_act(now)) {
        this->rejoin(this->own.incarnation, now);
    }
}

// Silence during a pause was this host's own and says nothing about the others.
auto member::resume(base::time_point now) -> void {
    this->probes.clear();
    this->relays.clear();
    for (auto& [host, deadline] : this->suspicions) {
        deadline = now + this->spans.suspicion;
    }
    this->next_probe = now;
}

auto member::rejoin(base::incarnation above, base::time_point now) -> void {
    this->own.incarnation = above.next();
    this->own.revision = membership::revision{};
    this->own.liveness = liveness::alive;
    // Only what is acknowledged to the new incarnation counts.
    this->lease_deadline = base::time_point{};
    this->probes.clear();
    this->next_probe = now;
    this->next_offer = now;
    this->commands.emplace_back(rejoined{this->own.incarnation});
    this->say_of_self(now);
}

auto member::hear_of_self(host_record const& record, base::time_point now) -> void {
    if (record.incarnation < this->own.incarnation) {
        return;
    }
    auto const is_gone = record.liveness == liveness::gone;
    if (record.incarnation > this->own.incarnation) {
        // Before it has joined, the host hears of its own past lives.
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
        this->say_of_self(now);
    }
}

auto member::take_in(host_record const& record, base::time_point now) -> void {
    if (record.host == this->own.host) {
        this->hear_of_self(record, now);
        return;
    }
    auto const result = this->known.merge(record, now);
    if (result == merge_result::stale) {
        return;
    }
    this->follow_suspicion(record, now);
    this->report(result, record);
    if (result != merge_result::refreshed) {
        this->spread(record, now);
    }
}

auto member::take_in_all(std::vector<host_record> const& records, base::time_point now) -> void {
    for (auto const& record : records) {
        this->take_in(record, now);
    }
}

auto member::follow_suspicion(host_record const& record, base::time_point now) -> void {
    auto const here = record.data_centre == this->own.data_centre;
    if (record.liveness != liveness::suspected || !here) {
        this->suspicions.erase(record.host);
        return;
    }
    auto const hint = this->link_hints.find(record.host);
    auto const hinted = hint != this->link_hints.end() && now < hint->second;
    auto const wait = hinted ? this->spans.suspicion_after_link_loss : this->spans.suspicion;
    this->suspicions[record.host] = now + wait;
}

auto member::report(merge_result result, host_record const& record) -> void {
    switch (result) {
        case merge_result::joined:
            this->commands.emplace_back(host_changed{change_kind::joined, record});
            break;
        case merge_result::gone:
            this->link_hints.erase(record.host);
            this->heard.erase(record.host);
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

auto member::spread(host_record const& record, base::time_point now) -> void {
    this->changes.add(record, this->known.size());
    if (!this->next_gossip) {
        this->next_gossip = now + this->spans.gossip_delay;
    }
}

auto member::say_of_self(base::time_point now) -> void {
    this->known.merge(this->own, now);
    this->spread(this->own, now);
}

// Tells a sender that is suspected, or gone, what is said of it.
auto member::correct(host_record const& sender) -> void {
    auto const* const record = this->known.find(sender.host);
    auto const doubted = record != nullptr && record->liveness != liveness::alive &&
                         record->incarnation >= sender.incarnation;
    if (doubted && sender.liveness != liveness::gone) {
        this->post(sender.host, gossip{this->own, {*record}});
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
        this->offer_to_distant(now);
    }
    if (now >= this->next_reconnect) {
        this->reconnect(now);
    }
    if (this->next_gossip && now >= *this->next_gossip) {
        this->flush_gossip(now);
    }
}

auto member::probe_peers(base::time_point now) -> void {
    this->next_probe = now + this->spans.probe_period;
    std::erase_if(this->relays, [&](auto const& each) { return each.second.deadline <= now; });
    auto const present = this->known.present_in(this->own.data_centre);
    auto targets = ring_neighbours(this->own.host, present, this->spans.ring_probes);
    auto const extra = this->turns.next(this->own.host, present, this->random);
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
    this->probes[this->last_probe] = probe{target, now, now + this->spans.direct_ack, false};
    auto carried = this->changes.take(this->spans.changes_per_message);
    auto const* const record = this->known.find(target);
    if (record->liveness == liveness::suspected) {
        carried.push_back(*record);
    }
    this->post(target, ping{this->last_probe, this->own, target, std::move(carried)});
}

auto member::ask_helpers(probe_number number, probe const& asked) -> void {
    auto others = this->peers();
    std::erase(others, asked.target);
    auto const helpers =
        random_peers(this->own.host, std::move(others), this->spans.helpers, this->random);
    for (auto const& helper : helpers) {
        this->post(helper, indirect_ping{number, this->own, asked.target});
    }
    // The first ping may have been lost.
    this->post(asked.target, ping{number, this->own, asked.target, {}});
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
        each.deadline = now + this->spans.indirect_ack;
        this->ask_helpers(number, each);
    }
    std::erase_if(this->probes, [&](auto const& each) { return each.second.deadline <= now; });
    for (auto const& host : failed) {
        this->suspect(host, now);
    }
}

auto member::suspect(base::host_id const& host, base::time_point now) -> void {
    auto const* const record = this->known.find(host);
    if (record == nullptr || record->liveness != liveness::alive) {
        return;
    }
    auto doubted = *record;
    doubted.liveness = liveness::suspected;
    this->take_in(doubted, now);
}

auto member::check_suspicions(base::time_point now) -> void {
    auto due = std::vector<base::host_id>{};
    for (auto const& [host, deadline] : this->suspicions) {
        if (now >= deadline) {
            due.push_back(host);
        }
    }
    for (auto const& host : due) {
        auto gone = *this->known.find(host);
        gone.liveness = liveness::gone;
        this->take_in(gone, now);
    }
}

auto member::flush_gossip(base::time_point /*now*/) -> void {
    this->next_gossip.reset();
    auto const targets =
        random_peers(this->own.host, this->peers(), this->spans.gossip_fanout, this->random);
    for (auto const& target : targets) {
        auto carried = this->changes.take(this->spans.changes_per_gossip);
        if (!carried.empty()) {
            this->post(target, gossip{this->own, std::move(carried)});
        }
    }
}

auto member::offer_table(base::time_point now) -> void {
    this->next_offer = now + this->jittered(this->spans.offer_period);
    this->known.forget_gone(now - this->spans.gone_kept);
    auto const data_centres = this->known.data_centres();
    // Every other offer is of the own data centre.
    auto const& offered = this->offers % 2 == 0
                              ? this->own.data_centre
                              : data_centres[(this->offers / 2) % data_centres.size()];
    ++this->offers;
    for (auto const& peer : random_peers(this->own.host, this->peers(), 1, this->random)) {
        this->post(peer, table_offer{this->own, offered, this->known.digest_of(offered)});
    }
}

auto member::offer_to_distant(base::time_point now) -> void {
    this->next_distant_offer = now + this->jittered(this->spans.distant_offer_period);
    auto const& here = this->own.data_centre;
    if (!this->is_contact()) {
        return;
    }
    auto const offer = table_offer{this->own, here, this->known.digest_of(here)};
    auto addressed = std::set<base::data_centre_id>{here};
    for (auto const& there : this->known.data_centres()) {
        auto const theirs = this->contacts_of(there);
        if (there == here || theirs.empty()) {
            continue;
        }
        addressed.insert(there);
        for (auto const& contact : random_peers(this->own.host, theirs, 1, this->random)) {
            this->post(contact, offer);
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
    this->next_reconnect = now + this->jittered(this->spans.reconnect_period);
    auto const lost = this->lost_hosts();
    if (lost.empty()) {
        return;
    }
    auto pick = std::uniform_int_distribution<std::size_t>{0, lost.size() - 1};
    auto const& chosen = lost[pick(this->random)];
    this->ask_for_table(chosen.host, chosen.address);
}

auto member::try_join(base::time_point now) -> void {
    auto contacts = this->hints_of(true);
    if (contacts.empty() || now >= this->join_deadline) {
        this->has_joined = true;
        return;
    }
    auto const doublings = std::min(this->join_tries, most_doublings);
    auto const wait = this->spans.join_first * (std::int64_t{1} << doublings);
    this->next_join = now + this->jittered(std::min(wait, this->spans.join_most));
    ++this->join_tries;
    std::shuffle(contacts.begin(), contacts.end(), this->random);
    contacts.resize(std::min(contacts.size(), this->spans.ring_probes));
    for (auto const& contact : contacts) {
        this->ask_for_table(contact.host, contact.address);
    }
}

auto member::ask_for_table(base::host_id const& host, base::endpoint const& address) -> void {
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
    return ranked(contact_duty, this->known.present_in(data_centre), this->spans.distant_contacts);
}

auto member::peers() const -> std::vector<base::host_id> {
    auto present = this->known.present_in(this->own.data_centre);
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

// Hosts of this data centre that are gone, or that only the host list knows.
auto member::lost_hosts() const -> std::vector<host_hint> {
    auto lost = std::vector<host_hint>{};
    for (auto const& record : this->known.records_of(this->own.data_centre)) {
        if (record.liveness == liveness::gone) {
            lost.push_back({record.host, record.data_centre, record.address, false});
        }
    }
    for (auto const& hint : this->hints_of(true)) {
        if (this->known.find(hint.host) == nullptr) {
            lost.push_back(hint);
        }
    }
    return lost;
}

auto member::jittered(base::duration span) -> base::duration {
    auto factor = std::uniform_real_distribution<double>{least_jitter, most_jitter};
    return base::from_seconds(base::to_seconds(span) * factor(this->random));
}

auto member::post(base::host_id const& to, peer_message message) -> void {
    auto const* const record = this->known.find(to);
    if (record != nullptr) {
        this->commands.emplace_back(send{to, record->address, std::move(message)});
    }
}

}  // namespace linnetlane::membership
