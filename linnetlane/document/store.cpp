#include "linnetlane/document/store.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace linnetlane::document {

store::store(validator valid, std::uint64_t seed) : random(seed), versions(std::move(valid)) {}

auto store::handle(event const& incoming, base::time_point now) -> std::vector<command> {
    std::visit([&](auto const& each) { this->on(each, now); }, incoming);
    this->platform_reader.run_due(now, this->out);
    this->change_applier.run_due(now, this->out);
    this->peer_replicator.run_due(this->known, now, this->table(), this->random, this->out);
    this->peer_replicator.offer_new(this->versions.take_accepted(), this->table(), this->random,
                                    this->out);
    this->report_known();
    return this->out.take();
}

auto store::next_deadline() const -> base::time_point {
    return std::min({this->platform_reader.next_deadline(), this->change_applier.next_deadline(),
                     this->peer_replicator.next_deadline()});
}

auto store::on(received const& notice, base::time_point now) -> void {
    this->peer_replicator.handle(notice, this->known, now, this->versions, this->out);
}

auto store::on(view_changed const& notice, base::time_point now) -> void {
    this->peer_replicator.set_peers(notice.peers, now, this->random);
    this->platform_reader.set_active(notice.reader, now, this->out);
}

auto store::on(store_answered const& notice, base::time_point now) -> void {
    auto const handled =
        this->platform_reader.handle(notice.answer, now, this->versions, this->random, this->out);
    if (!handled) {
        this->change_applier.handle(notice.answer, now, this->versions, this->random, this->out);
    }
}

auto store::on(apply const& notice, base::time_point now) -> void {
    this->change_applier.begin(notice, now, this->versions, this->out);
}

auto store::on(history const& notice, base::time_point /*now*/) -> void {
    this->change_applier.begin(notice, this->out);
}

auto store::on(tick const& /*notice*/, base::time_point /*now*/) -> void {}

auto store::report_known() -> void {
    auto const complete =
        this->platform_reader.has_read_all() || this->peer_replicator.has_caught_up();
    if (complete && !this->known) {
        this->known = true;
        this->out.add(documents_known{});
    }
}

}  // namespace linnetlane::document
