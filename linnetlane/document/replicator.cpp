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
        this->next_compare = this->asked ? now + jittered(compare_period, random) : now;
    }
}

auto replicator::handle(received const& message, bool all_known, base::time_point now,
                        acceptor& versions, outbox& out) -> void {
    auto const& table = versions.table();
    std::visit(base::overloaded{
                   [&](offer_request const& /*question*/) {
                       this->answer_offer_request(message.from, all_known, table, out);
                   },
                   [&](offer const& offered) {
                       this->answer_offer(message.from, offered, now, table, out);
                   },
                   [&](version_request const& question) {
                       this->answer_version_request(message.from, question, table, out);
                   },
                   [&](push const& pushed) {
                       for (auto const& each : pushed.versions) {
                           this->asked_for.erase(each.service);
                           this->owed.erase(each.service);
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
    auto news = offer{};
    for (auto const& service : services) {
        news.version_ids.push_back(id_of(*table.find(service)));
    }
    for (auto const& host : this->some_peers(offer_fanout, random)) {
        out.add(send{host, news});
    }
}

auto replicator::run_due(bool all_known, base::time_point now, version_table const& table,
                         random_generator& random, outbox& out) -> void {
    if (now < this->next_compare) {
        return;
    }
    auto const wait = all_known ? compare_period : ask_period;
    this->next_compare = now + jittered(wait, random);
    std::erase_if(this->asked_for, [&](auto const& each) { return each.second.again_at <= now; });
    if (!all_known) {
        this->ask_peers(random, out);
    }
    this->compare(all_known, table, random, out);
}

auto replicator::has_caught_up() const -> bool {
    return this->offered_all && this->owed.empty();
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
        auto const before = this->asked_for.find(id.service);
        auto const under_way = before != this->asked_for.end() && now < before->second.again_at &&
                               !is_newer(id, before->second.id);
        if (table.lacks(id) && !under_way) {
            this->asked_for[id.service] = wanted{id, now + want_patience};
            lacking.services.push_back(id.service);
        }
    }
    if (!lacking.services.empty()) {
        out.add(send{from, std::move(lacking)});
    }
    if (message.complete) {
        this->owe(message, table);
        this->offer_back(from, message, table, out);
    }
}

auto replicator::owe(offer const& message, version_table const& table) -> void {
    if (!message.all_known || this->offered_all) {
        return;
    }
    this->offered_all = true;
    for (auto const& id : message.version_ids) {
        if (table.lacks(id)) {
            this->owed.insert(id.service);
        }
    }
}

auto replicator::offer_back(base::host_id const& from, offer const& message,
                            version_table const& table, outbox& out) -> void {
    auto theirs = std::map<base::service_id, version_id>{};
    for (auto const& id : message.version_ids) {
        theirs[id.service] = id;
    }
    auto back = offer{};
    for (auto const& id : table.version_ids()) {
        auto const found = theirs.find(id.service);
        if (found == theirs.end() || is_newer(id, found->second)) {
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
        // One message for each text, so that none grows large.
        if (auto const* const kept = table.find(service)) {
            out.add(send{from, push{{*kept}}});
        }
    }
}

auto replicator::some_peers(std::size_t count, random_generator& random) const
    -> std::vector<base::host_id> {
    auto chosen = std::vector<peer>{};
    std::sample(this->peers.begin(), this->peers.end(), std::back_inserter(chosen), count, random);
    auto hosts = std::vector<base::host_id>{};
    for (auto& each : chosen) {
        hosts.push_back(std::move(each.host));
    }
    return hosts;
}

auto replicator::ask_peers(random_generator& random, outbox& out) -> void {
    this->asked = true;
    for (auto const& host : this->some_peers(ask_fanout, random)) {
        out.add(send{host, offer_request{}});
    }
}

auto replicator::compare(bool all_known, version_table const& table, random_generator& random,
                         outbox& out) -> void {
    auto differing = std::vector<base::host_id>{};
    for (auto const& each : this->peers) {
        if (each.heard_lately && each.documents_digest != table.digest()) {
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
