#include "linnetlane/daemon/membership_service.h"

#include <random>
#include <utility>

#include "linnetlane/base/result.h"

namespace linnetlane::daemon {

membership_service::membership_service(membership::host_record const& self,
                                       membership_hooks own_hooks)
    : member(self, membership::timing{}, std::random_device{}(), base::monotonic_clock::now()),
      hooks(std::move(own_hooks)) {}

auto membership_service::start(runtime::worker_pool& pool) -> void {
    this->timer = std::make_unique<ticker>(pool, [this] {
        auto const lock = std::lock_guard{this->mutex};
        this->run(membership::tick{});
        return this->member.next_deadline();
    });
}

auto membership_service::handle(membership::event const& event) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->run(event);
    if (this->timer) {
        this->timer->wake_by(this->member.next_deadline());
    }
}

// Requires `mutex` to be held.
auto membership_service::run(membership::event const& event) -> void {
    auto const perform = base::overloaded{
        [&](membership::send const& command) {
            this->hooks.send(command.to, command.address, command.message);
        },
        [&](membership::host_changed const& command) { this->hooks.changed(command); },
        [&](membership::rejoined const& command) { this->hooks.rejoined(command.incarnation); },
        [&](membership::superseded const&) { this->hooks.superseded(); },
    };
    for (auto const& command : this->member.handle(event, base::monotonic_clock::now())) {
        std::visit(perform, command);
    }
}

auto membership_service::may_act() const -> bool {
    auto const lock = std::lock_guard{this->mutex};
    return this->member.may_act(base::monotonic_clock::now());
}

auto membership_service::joined() const -> bool {
    auto const lock = std::lock_guard{this->mutex};
    return this->member.joined();
}

auto membership_service::self() const -> membership::host_record {
    auto const lock = std::lock_guard{this->mutex};
    return this->member.self();
}

auto membership_service::hosts() const -> membership::host_table {
    auto const lock = std::lock_guard{this->mutex};
    return this->member.hosts();
}

auto membership_service::address_of(base::host_id const& host) const
    -> std::optional<base::endpoint> {
    auto const lock = std::lock_guard{this->mutex};
    auto const* const record = this->member.hosts().find(host);
    return record == nullptr ? std::nullopt : std::optional{record->address};
}

auto membership_service::holder_of(std::string_view duty) const -> std::optional<base::host_id> {
    auto const lock = std::lock_guard{this->mutex};
    return this->member.holder_of(duty);
}

auto membership_service::document_view() const -> document::view_changed {
    auto const lock = std::lock_guard{this->mutex};
    auto const now = base::monotonic_clock::now();
    auto view = document::view_changed{{}, this->member.reads_platform()};
    for (auto const& partner : this->member.document_exchange_peers()) {
        view.peers.push_back({partner.host, partner.documents_digest,
                              this->member.heard_recently(partner.host, now)});
    }
    return view;
}

}  // namespace linnetlane::daemon
