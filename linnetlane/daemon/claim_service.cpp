#include "linnetlane/daemon/claim_service.h"

#include <algorithm>

#include "linnetlane/claim/limits.h"
#include "linnetlane/claim/record.h"

namespace linnetlane::daemon {

namespace {

// A request without a reply is resent after this time.
constexpr auto resend_interval = std::chrono::milliseconds{500};
// Delay before a request is resent when the shard has no keeper or the receiver isn't its keeper.
constexpr auto keeper_retry_delay = std::chrono::milliseconds{50};
// For how long settling a claim is retried.
constexpr auto settle_timeout = std::chrono::seconds{30};
// Minimum retry delay of a call that could not be claimed, also used if no keeper replied.
constexpr auto default_retry_delay = std::chrono::seconds{1};

auto shard_of_request(claim_or_settle const& keeper_request) -> claim::shard_number {
    auto const shards = claim::limits{}.shards;
    return std::visit(
        [&](auto const& one) { return claim::shard_of(one.service, one.key, shards); },
        keeper_request);
}

auto to_request_state(claim::claim_state state) -> request::claim_state {
    switch (state) {
        case claim::claim_state::under_way:
            return request::claim_state::under_way;
        case claim::claim_state::answered:
            return request::claim_state::answered;
        case claim::claim_state::outcome_unknown:
            return request::claim_state::outcome_unknown;
        case claim::claim_state::not_run:
            break;
    }
    return request::claim_state::not_run;
}

auto to_claim_state(request::claim_state state) -> claim::claim_state {
    switch (state) {
        case request::claim_state::under_way:
            return claim::claim_state::under_way;
        case request::claim_state::answered:
            return claim::claim_state::answered;
        case request::claim_state::outcome_unknown:
            return claim::claim_state::outcome_unknown;
        case request::claim_state::not_run:
            break;
    }
    return claim::claim_state::not_run;
}

auto to_claim_exists(claim::claim_reply const& reply) -> request::claim_exists {
    auto answer = request::claim_exists{to_request_state(reply.state), {}};
    if (reply.answer) {
        answer.answer = request::stored_answer{reply.answer->status, reply.answer->content_type,
                                               reply.answer->body};
    }
    return answer;
}

auto to_claim_refused(claim::claim_reply const& reply) -> request::claim_refused {
    auto const overloaded =
        reply.verdict == claim::verdict::shard_full || reply.verdict == claim::verdict::overloaded;
    auto const wait = std::max<base::duration>(reply.retry_after, default_retry_delay);
    return {overloaded ? request::claim_refusal::overloaded
                       : request::claim_refusal::platform_unavailable,
            base::monotonic_clock::now() + wait};
}

auto make_no_reply_refusal() -> request::claim_refused {
    return {request::claim_refusal::platform_unavailable,
            base::monotonic_clock::now() + default_retry_delay};
}

}  // namespace

claim_service::claim_service(runtime::worker_pool& own_pool, claim_hooks own_hooks)
    : pool(&own_pool), hooks(std::move(own_hooks)) {}

auto claim_service::next_claimant() -> claim::claimant {
    auto const self = this->hooks.self();
    return {self.host, self.incarnation, claim::request_number{++this->last_number}};
}

auto claim_service::handle_reply(claim::claim_reply const& reply) -> void {
    auto const lock = std::lock_guard{this->mutex};
    auto const found = this->pending.find(reply_key{reply.number, reply.to_settle});
    if (found != this->pending.end()) {
        found->second->push(reply);
    }
}

// Resends until the shard's keeper replies; returns nothing if none did by `deadline`.
auto claim_service::submit_until(claim_or_settle const& keeper_request, reply_key const& key,
                                 base::time_point deadline) -> std::optional<claim::claim_reply> {
    auto const inbox = std::make_shared<reply_inbox>();
    {
        auto const lock = std::lock_guard{this->mutex};
        this->pending[key] = inbox;
    }
    auto answer = std::optional<claim::claim_reply>{};
    while (!answer && base::monotonic_clock::now() < deadline) {
        auto const submitted = this->hooks.submit(shard_of_request(keeper_request), keeper_request);
        auto const until =
            base::monotonic_clock::now() + (submitted ? resend_interval : keeper_retry_delay);
        answer = inbox->pop(std::min<base::time_point>(until, deadline));
        if (answer && answer->verdict == claim::verdict::not_keeper) {
            answer.reset();
            runtime::sleep_until(base::monotonic_clock::now() + keeper_retry_delay);
        }
    }
    auto const lock = std::lock_guard{this->mutex};
    this->pending.erase(key);
    return answer;
}

auto claim_service::claim(base::service_id const& service, base::idempotency_key const& key,
                          base::request_id const& request, base::time_point deadline)
    -> request::claim_answer {
    auto const keep_until = wall_now() + claim_retention;
    auto const keeper_request =
        claim::claim_request{this->next_claimant(), service, key, keep_until};
    auto const first_submitted = base::monotonic_clock::now();
    auto const reply =
        this->submit_until(keeper_request, {keeper_request.claimant.number, false}, deadline);
    if (!reply) {
        this->withdraw(keeper_request);
        return make_no_reply_refusal();
    }
    if (reply->verdict == claim::verdict::already_claimed) {
        return to_claim_exists(*reply);
    }
    if (reply->verdict != claim::verdict::granted) {
        if (reply->may_be_recorded) {
            this->withdraw(keeper_request);
        }
        return to_claim_refused(*reply);
    }
    if (base::monotonic_clock::now() > first_submitted + reply->send_within) {
        this->withdraw(keeper_request);
        return make_no_reply_refusal();
    }
    auto const lock = std::lock_guard{this->mutex};
    this->granted[request] = keeper_request.claimant;
    return request::claim_granted{};
}

// Frees the key of a call that was certainly not sent.
auto claim_service::withdraw(claim::claim_request const& keeper_request) -> void {
    this->settle_claim({keeper_request.claimant,
                        keeper_request.service,
                        keeper_request.key,
                        claim::claim_state::not_run,
                        {}});
}

auto claim_service::settle_claim(claim::settle_request const& keeper_request) -> void {
    this->pool->spawn([this, keeper_request] {
        auto const deadline = base::monotonic_clock::now() + settle_timeout;
        static_cast<void>(
            this->submit_until(keeper_request, {keeper_request.claimant.number, true}, deadline));
    });
}

auto claim_service::settle(base::service_id const& service, base::idempotency_key const& key,
                           base::request_id const& request, request::claim_state state,
                           std::optional<request::stored_answer> const& answer) -> void {
    auto keeper_request = claim::settle_request{};
    {
        auto const lock = std::lock_guard{this->mutex};
        auto const found = this->granted.find(request);
        if (found == this->granted.end()) {
            return;
        }
        keeper_request.claimant = found->second;
        this->granted.erase(found);
    }
    keeper_request.service = service;
    keeper_request.key = key;
    keeper_request.state = to_claim_state(state);
    if (answer) {
        keeper_request.answer =
            claim::stored_answer{answer->status, answer->content_type, answer->body};
    }
    this->settle_claim(keeper_request);
}

}  // namespace linnetlane::daemon
