#include "linnetlane/document/replicator.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <variant>

#include "linnetlane/base/result.h"

namespace linnetlane::document {

auto replicator::set_peers(std::vector<peer> present, base::time_point now,
                           random_generator& random) -> void {
    this->peers = std::move(present);
    if (this->peers.empty()) {
        this->next_compare = base::time_point::max();
    } else if (this->next_compare == base::time_point::max()) {
        this->next_compare =
            this->has_requested_offers ? now + jittered(compare_period, random) : now;
    }
}

auto replicator::handle(received const& message, bool all_known, base::time_point now,
                        acceptor& versions, outbox& out) -> void {
    auto const& table = versions.table();
    std::visit(base::overloaded{
                   [&](offer_request const& /*request*/) {
                       this->answer_offer_request(message.from, all_known, table, out);
                   },
                   [&](offer const& offered) {
                       this->answer_offer(message.from, offered, now, table, out);
                   },
                   [&](version_request const& request) {
                       this->answer_version_request(message.from, request, table, out);
                   },
                   [&](push const& pushed) {
                       for (auto const& each : pushed.versions) {
                           this->requested.erase(each.service);
                           this->awaited.erase(each.service);
                           versions.accept(each, out);
                       }
                   },
               },
               message.message);
}

auto replicator::offer_new(std::vector<base::service_id> const& services,
                           version_table const& table, random_generator& random, outbox& out)
    -> void {
    if (services.empty()) {
        return;
    }
    auto message = offer{};
    for (auto const& service : services) {
        message.version_ids.push_back(id_of(*table.find(service)));
    }
    for (auto const& host : this->sample_peers(offer_fanout, random)) {
        out.add(send{host, message});
    }
}

auto replicator::run_due(bool all_known, base::time_point now, version_table const& table,
                         random_generator& random, outbox& out) -> void {
    if (now < this->next_compare) {
        return;
    }
    auto const wait = all_known ? compare_period : offer_request_period;
    this->next_compare = now + jittered(wait, random);
    std::erase_if(this->requested, [&](auto const& each) { return each.second.retry_at <= now; });
    if (!all_known) {
        this->request_offers(random, out);
    }
    this->compare(all_known, table, random, out);
}

auto replicator::has_caught_up() const -> bool {
    return this->has_complete_offer && this->awaited.empty();
}

auto replicator::answer_offer_request(base::host_id const& from, bool all_known,
                                      version_table const& table, outbox& out) -> void {
    if (all_known) {
        out.add(send{from, offer{table.version_ids(), true, true}});
    }
}

auto replicator::answer_offer(base::host_id const& from, offer const& message, base::time_point now,
                              version_table const& table, outbox& out) -> void {
    auto lacking = version_request{};
    for (auto const& id : message.version_ids) {
        auto const previous = this->requested.find(id.service);
        auto const is_requested = previous != this->requested.end() &&
                                  now < previous->second.retry_at &&
                                  !is_newer(id, previous->second.id);
        if (table.lacks(id) && !is_requested) {
            this->requested[id.service] = outstanding_request{id, now + version_request_timeout};
            lacking.services.push_back(id.service);
        }
    }
    if (!lacking.services.empty()) {
        out.add(send{from, std::move(lacking)});
    }
    if (message.complete) {
        this->await_offered(message, table);
        this->offer_newer(from, message, table, out);
    }
}

// On the first complete offer of a host that knows all documents, notes the services whose offered
// versions this host lacks. The host has caught up once they have arrived.
auto replicator::await_offered(offer const& message, version_table const& table) -> void {
    if (!message.all_known || this->has_complete_offer) {
        return;
    }
    this->has_complete_offer = true;
    for (auto const& id : message.version_ids) {
        if (table.lacks(id)) {
            this->awaited.insert(id.service);
        }
    }
}

auto replicator::offer_newer(base::host_id const& from, offer const& message,
                             version_table const& table, outbox& out) -> void {
    auto peer_ids = std::map<base::service_id, version_id>{};
    for (auto const& id : message.version_ids) {
        peer_ids[id.service] = id;
    }
    auto back = offer{};
    for (auto const& id : table.version_ids()) {
        auto const found = peer_ids.find(id.service);
        if (found == peer_ids.end() || is_newer(id, found->second)) {
            back.version_ids.push_back(id);
        }
    }
    if (!back.version_ids.empty()) {
        out.add(send{from, std::move(back)});
    }
}

auto replicator::answer_version_request(base::host_id const& from, version_request const& message,
                                        version_table const& table, outbox& out) -> void {
    for (auto const& service : message.services) {
        // One message per text, to bound the message size.
        if (auto const* const stored = table.find(service)) {
            out.add(send{from, push{{*stored}}});
        }
    }
}

auto replicator::sample_peers(std::size_t count, random_generator& random) const
    -> std::vector<base::host_id> {
    auto sample = std::vector<peer>{};
    std::sample(this->peers.begin(), this->peers.end(), std::back_inserter(sample), count, random);
    auto hosts = std::vector<base::host_id>{};
    for (auto& each : sample) {
        hosts.push_back(std::move(each.host));
    }
    return hosts;
}

auto replicator::request_offers(random_generator& random, outbox& out) -> void {
    this->has_requested_offers = true;
    for (auto const& host : this->sample_peers(offer_request_fanout, random)) {
        out.add(send{host, offer_request{}});
    }
}

auto replicator::compare(bool all_known, version_table const& table, random_generator& random,
                         outbox& out) -> void {
    auto differing = std::vector<base::host_id>{};
    for (auto const& each : this->peers) {
        if (each.digest_is_recent && each.documents_digest != table.digest()) {
            differing.push_back(each.host);
        }
    }
    if (differing.empty()) {
        return;
    }
    auto pick = std::uniform_int_distribution<std::size_t>{0, differing.size() - 1};
    out.add(send{differing[pick(random)], offer{table.version_ids(), true, all_known}});
}

}  // namespace linnetlane::document
