#include <utility>

#include "linnetlane/base/result.h"
#include "linnetlane/daemon/host_state.h"

namespace linnetlane::daemon {

namespace {

auto operation_of(coordination::store_call const& call) -> telemetry::platform_operation {
    using telemetry::platform_operation;
    return std::visit(
        base::overloaded{
            [](coordination::read_key const&) { return platform_operation::read; },
            [](coordination::read_prefix const&) { return platform_operation::read; },
            [](coordination::compare_and_swap const&) { return platform_operation::swap; },
            [](coordination::watch_prefix const&) { return platform_operation::watch; },
            [](coordination::stop_watch const&) { return platform_operation::watch; },
            [](auto const&) { return platform_operation::lease; },
        },
        call);
}

auto outcome_of(coordination::call_outcome outcome) -> telemetry::call_outcome {
    switch (outcome) {
        case coordination::call_outcome::answered:
            return telemetry::call_outcome::done;
        case coordination::call_outcome::not_run:
            return telemetry::call_outcome::not_run;
        case coordination::call_outcome::may_have_run:
            break;
    }
    return telemetry::call_outcome::unknown;
}

}  // namespace

auto host::state::make_platform_observer() -> coordination::call_observer {
    return [this](coordination::store_call const& call, coordination::call_outcome outcome,
                  base::duration took) {
        this->metrics.count_platform_call(operation_of(call), outcome_of(outcome), took);
    };
}

auto host::state::make_membership_hooks() -> membership_hooks {
    auto hooks = membership_hooks{};
    hooks.send = [this](base::host_id const& to, base::endpoint const& address,
                        membership::peer_message const& message) {
        this->network->send(to, address, message);
    };
    hooks.changed = [this](membership::host_changed const& change) {
        this->record_host_change(change);
    };
    hooks.rejoined = [this](base::incarnation next) { this->rejoin(next); };
    hooks.superseded = [this] { this->pool.spawn(this->superseded); };
    return hooks;
}

auto host::state::make_document_hooks() -> document_hooks {
    auto hooks = document_hooks{};
    hooks.send = [this](base::host_id const& to, document::peer_message const& message) {
        this->send(to, message);
    };
    hooks.in_force = [this](document::version const& version) { this->put_in_force(version); };
    hooks.invalid = [this](document::invalid_document const& bad) {
        this->log.write(telemetry::log_level::error,
                        "invalid document on the platform; the previous version stays in force",
                        {bad.service});
    };
    hooks.all_known = [this] { this->refresh_soon(); };
    return hooks;
}

auto host::state::make_keeper_hooks() -> keeper_hooks {
    auto hooks = keeper_hooks{};
    hooks.reply = [this](cell::holder const& holder, protocol::reply_from_cell const& reply) {
        this->reply(holder, reply);
    };
    hooks.may_act = [this] { return this->membership->may_act(); };
    return hooks;
}

auto host::state::make_keeper_sender() -> keeper_sender {
    return [this](keeper const& to, protocol::request_to_cell const& question) {
        if (to.host == this->settings.host) {
            this->keepers.handle_question(this->self_holder(), question);
        } else {
            this->network->send(to.host, to.address, question);
        }
    };
}

auto host::state::make_leaving_broadcast() -> broadcast_leaving {
    return [this](protocol::leaving_marks const& marks) {
        this->apply_leaving_marks(marks);
        auto const hosts = this->membership->hosts();
        for (auto const& host : hosts.present_in(this->settings.data_centre)) {
            if (host != this->settings.host) {
                this->send(host, marks);
            }
        }
    };
}

auto host::state::apply_leaving_marks(protocol::leaving_marks const& marks) -> void {
    auto const until = base::monotonic_clock::now() + leaving_mark_lifetime;
    if (this->parsed_documents.mark_leaving(marks.service, marks.upstreams, until)) {
        this->refresh_soon();
    }
}

auto host::state::writer_name() const -> std::string {
    return this->settings.host.value + "/" + std::to_string(this->incarnation.load());
}

auto host::state::make_claim_reply_hook() -> claim_reply_hook {
    return [this](base::host_id const& to, claim::claim_reply const& reply) {
        if (to == this->settings.host) {
            this->claims.handle_reply(reply);
        } else {
            this->send(to, claim::peer_message{reply});
        }
    };
}

auto host::state::make_claim_hooks() -> claim_hooks {
    auto hooks = claim_hooks{};
    hooks.submit = [this](claim::shard_number shard, claim_or_settle const& keeper_request) {
        return this->submit_to_claim_keeper(shard, keeper_request);
    };
    hooks.self = [this] { return this->self_holder(); };
    return hooks;
}

auto host::state::submit_to_claim_keeper(claim::shard_number shard,
                                         claim_or_settle const& keeper_request) -> bool {
    auto const keeper_host = this->membership->holder_of(duty_of(shard));
    if (!keeper_host) {
        return false;
    }
    if (*keeper_host == this->settings.host) {
        this->claim_keepers.submit(keeper_request);
    } else {
        std::visit([&](auto const& one) { this->send(*keeper_host, claim::peer_message{one}); },
                   keeper_request);
    }
    return true;
}

}  // namespace linnetlane::daemon
