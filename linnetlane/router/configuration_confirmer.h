// Keeps a proof that the configuration in force is the newest one, so that a host serves by an
// older one only while it is cut off from the registry.
//
// In a steady service the proof comes with the changes that the host receives. If it grows old,
// whatever the reason, it is renewed before it ends: a host that reads the registry queries it; any
// other host queries the one that it follows and, unless that one answers at once, the registry.
//
//   pool.spawn([&] { confirmer.run(); });
//   ...
//   if (!confirmer.confirm(bound, deadline)) {
//       // A newer configuration may be in force elsewhere, and this host can't find out.
//   }

#ifndef LINNETLANE_ROUTER_CONFIGURATION_CONFIRMER_H_
#define LINNETLANE_ROUTER_CONFIGURATION_CONFIRMER_H_

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <variant>

#include "linnetlane/base/time.h"
#include "linnetlane/router/peer_codec.h"
#include "linnetlane/router/registry_follower.h"
#include "linnetlane/router/request_context.h"

namespace linnetlane::router {

// Not thread-safe; must be used on one worker only. Must exist until its fibers end.
template <router_registry Registry>
class configuration_confirmer {
public:
    // The age at which a proof is renewed, as a share of the bound on changes.
    static constexpr auto renewal_share = 3.0 / 5;
    // How long the followed host may take before the registry is queried as well.
    static constexpr auto peer_head_start = std::chrono::milliseconds{100};
    static constexpr auto peer_timeout = std::chrono::milliseconds{300};
    // How long this host may take to answer another one: less than that.
    static constexpr auto peer_answer_time = std::chrono::milliseconds{250};
    // How long the registry may take before this host counts as cut off from it. The answer still
    // counts if it comes later, since it may hold a large configuration.
    static constexpr auto registry_timeout = std::chrono::milliseconds{600};
    static constexpr auto read_timeout = std::chrono::milliseconds{1000};
    // The pause after a query that gave no proof. Doubles with each further one.
    static constexpr auto initial_retry_interval = std::chrono::milliseconds{200};
    static constexpr auto max_retry_interval = std::chrono::milliseconds{800};
    // How long the next query may take; meanwhile the outcome of the last one holds.
    static constexpr auto query_time = std::chrono::milliseconds{1200};
    // How long a configuration that the followed host has may take to arrive.
    static constexpr auto delivery_time = std::chrono::milliseconds{1000};
    static constexpr auto check_interval = std::chrono::milliseconds{10};

    configuration_confirmer(host_context const& own_host,
                            configuration_follower<Registry>& own_configurations)
        : host{own_host}, configurations{own_configurations} {}

    // Renews the proof whenever it is about to end. Never returns.
    [[noreturn]] auto run() -> void {
        for (;;) {
            runtime::sleep_until(this->next_renewal());
            if (this->is_due()) {
                this->query_pending = true;
                this->query(this->renewal_age());
            } else if (this->is_proven(this->renewal_age())) {
                // Such as by the changes that came meanwhile.
                this->end_cut_off();
            }
        }
    }

    // Returns whether the configuration in force was the newest one at some moment no longer ago
    // than `bound`. If that isn't known, waits for a query for it, at most until `deadline`; at
    // once returns false while this host is cut off. If there is a newer configuration, waits for
    // it. Suspends the calling fiber.
    auto confirm(base::duration bound, base::time_point deadline) -> bool {
        while (!this->is_proven(bound) && base::monotonic_clock::now() < deadline) {
            if (this->is_cut_off() && !this->is_behind()) {
                return false;
            }
            // A query for another bound may have ended without such a proof.
            if (!this->query_pending && !this->is_cut_off()) {
                this->query_pending = true;
                this->host.pool.spawn([this, bound] { this->query(bound); });
            }
            runtime::sleep_until(std::min(deadline, base::monotonic_clock::now() + check_interval));
        }
        return this->is_proven(bound);
    }

    // Answers another host, with a proof that is no older than `wanted` if there is one. Suspends
    // the calling fiber.
    auto state_for_host(std::optional<base::duration> wanted) -> configuration_state {
        auto const bound = wanted.value_or(this->host.settings.changes.applied_within / 2);
        static_cast<void>(this->confirm(bound, base::monotonic_clock::now() + peer_answer_time));
        auto const current = this->host.view.routes.current();
        return {current ? current->version : routing::configuration_version{},
                this->host.view.freshness.age(base::boot_clock::now())};
    }

private:
    [[nodiscard]] auto is_proven(base::duration bound) const -> bool {
        return this->host.view.freshness.is_within(bound, base::boot_clock::now());
    }

    // Returns whether the last query gave no proof and none has come since. An outcome of before
    // the process stood still doesn't count.
    [[nodiscard]] auto is_cut_off() const -> bool {
        return base::monotonic_clock::now() < this->cut_off_until &&
               this->host.view.freshness.last_proven() == this->proven_before_query;
    }

    // Returns whether the followed host has a newer configuration, which is about to arrive.
    [[nodiscard]] auto is_behind() const -> bool {
        auto const current = this->host.view.routes.current();
        return current != nullptr && current->version < this->stated_version &&
               base::monotonic_clock::now() < this->expected_until;
    }

    [[nodiscard]] auto renewal_age() const -> base::duration {
        return share_of(this->host.settings.changes.applied_within, renewal_share);
    }

    [[nodiscard]] auto is_due() const -> bool {
        return this->host.view.ready() && !this->query_pending &&
               base::monotonic_clock::now() >= this->next_query &&
               !this->is_proven(this->renewal_age());
    }

    // Returns when to renew the proof unless a newer one comes until then.
    [[nodiscard]] auto next_renewal() const -> base::time_point {
        auto const now = base::monotonic_clock::now();
        auto const bound = this->renewal_age();
        if (!this->host.view.ready() || this->query_pending) {
            return now + initial_retry_interval;
        }
        auto const age = this->host.view.freshness.age(base::boot_clock::now());
        return std::max(this->next_query, now + (age ? bound - *age : base::duration::zero()));
    }

    // Asks the sources until the configuration in force is proven within `bound`. Requires that
    // `query_pending` was set for this call.
    auto query(base::duration bound) -> void {
        if (!this->host.view.reads_registry && this->host.view.source) {
            this->query_host(host_entry{*this->host.view.source}, bound);
        }
        auto const answered = !this->is_proven(bound) && this->query_registry(bound);
        if (this->is_proven(bound)) {
            this->end_cut_off();
            this->next_query = base::monotonic_clock::now() + initial_retry_interval;
        } else {
            this->note_cut_off(answered);
        }
        this->query_pending = false;
    }

    auto query_host(host_entry const& followed, base::duration bound) -> void {
        auto const ended = std::make_shared<bool>(false);
        this->host.pool.spawn([this, followed, bound, ended] {
            this->ask_host(followed, bound);
            *ended = true;
        });
        this->wait_for_proof(bound, *ended, peer_head_start);
    }

    // Returns whether the registry answered in time.
    auto query_registry(base::duration bound) -> bool {
        struct outcome {
            bool ended = false;
            bool answered = false;
        };
        auto const result = std::make_shared<outcome>();
        this->host.pool.spawn([this, result] {
            result->answered =
                this->configurations.read_newer(base::monotonic_clock::now() + read_timeout);
            result->ended = true;
        });
        this->wait_for_proof(bound, result->ended, registry_timeout);
        return result->answered;
    }

    // Waits until there is a proof or `ended` is set, for `longest` at most.
    auto wait_for_proof(base::duration bound, bool const& ended, base::duration longest) -> void {
        auto const until = base::monotonic_clock::now() + longest;
        while (!ended && !this->is_proven(bound) && base::monotonic_clock::now() < until) {
            runtime::sleep_until(std::min(until, base::monotonic_clock::now() + check_interval));
        }
    }

    auto end_cut_off() -> void {
        this->retry_interval = initial_retry_interval;
        if (this->cut_off_until != base::time_point::min()) {
            this->cut_off_until = base::time_point::min();
            this->host.log.write(telemetry::log_level::info,
                                 "the configuration is proven to be the newest one again", {});
        }
    }

    // Records that a query gave no proof. If the registry answered, it has another configuration
    // than the one in force, such as an older one after a restoration, and the operator's next
    // change ends that.
    auto note_cut_off(bool answered) -> void {
        auto const& view = this->host.view;
        auto const now = base::monotonic_clock::now();
        if (this->cut_off_until == base::time_point::min()) {
            this->host.log.write(telemetry::log_level::warning,
                                 "no proof that the configuration is the newest one",
                                 {{"reads_registry", view.reads_registry},
                                  {"registry_answered", answered},
                                  {"behind", this->is_behind()}});
        }
        auto const pause = answered ? this->host.settings.changes.applied_within
                                    : share_of(this->retry_interval, 0.5 + this->host.view.draw());
        this->retry_interval =
            std::min<base::duration>(this->retry_interval * 2, max_retry_interval);
        this->next_query = now + pause;
        this->cut_off_until = now + pause + query_time;
        this->proven_before_query = view.freshness.last_proven();
    }

    auto ask_host(host_entry const& followed, base::duration bound) -> void {
        auto const asked_at = base::boot_clock::now();
        // The rest of the bound is for the way of the answer.
        auto const wanted = bound * 5 / 6;
        auto const fetched = runtime::fetch(
            *followed.peers, make_configuration_request(wanted), runtime::connection_use::pooled,
            base::monotonic_clock::now() + peer_timeout, max_peer_answer);
        auto const* const response = std::get_if<runtime::http_response>(&fetched);
        auto const state = response != nullptr && response->status == 200
                               ? decode_configuration_state(response->body)
                               : std::nullopt;
        if (!state) {
            return;
        }
        if (state->version != this->stated_version) {
            this->stated_version = state->version;
            this->expected_until = base::monotonic_clock::now() + delivery_time;
        }
        // What was newest there proves nothing for another version.
        auto const current = this->host.view.routes.current();
        if (state->age && current != nullptr && current->version == state->version) {
            this->host.view.freshness.note_newest(asked_at - *state->age, followed.host);
        }
    }

    host_context const& host;
    configuration_follower<Registry>& configurations;
    bool query_pending = false;
    base::time_point next_query = base::time_point::min();
    base::duration retry_interval = initial_retry_interval;
    // Until then the last query, which gave no proof, holds for requests.
    base::time_point cut_off_until = base::time_point::min();
    // The last proof that there was then.
    std::optional<routing::configuration_freshness::time_point> proven_before_query;
    // The version that the followed host stated last, and until when it should have arrived.
    routing::configuration_version stated_version;
    base::time_point expected_until = base::time_point::min();
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_CONFIGURATION_CONFIRMER_H_
