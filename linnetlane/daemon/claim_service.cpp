#include "linnetlane/daemon/claim_service.h"

#include <algorithm>

#include "linnetlane/claim/limits.h"
#include "linnetlane/claim/record.h"

namespace linnetlane::daemon {

namespace {

// A question without an answer is asked again after this.
constexpr auto ask_again = std::chrono::milliseconds{500};
// Before asking again when the keeper is another, or none.
constexpr auto keeper_pause = std::chrono::milliseconds{50};
// How long the end of a claim is tried to be recorded.
constexpr auto settle_patience = std::chrono::seconds{30};
// When a call that could not be claimed may come again, if the keeper does not say.
constexpr auto default_retry = std::chrono::seconds{1};

auto shard_of_question(claim_or_settle const& question) -> claim::shard_number {
    auto const shards = claim::limits{}.shards;
    return std::visit(
        [&](auto const& one) { return claim::shard_of(one.service, one.key, shards); }, question);
}

auto to_request(claim::claim_state state) -> request::claim_state {
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

auto to_claim(request::claim_state state) -> claim::claim_state {
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

auto already(claim::claim_reply const& reply) -> request::claim_exists {
    auto answer = request::claim_exists{to_request(reply.state), {}};
    if (reply.answer) {
        answer.answer = request::stored_answer{reply.answer->status, reply.answer->content_type,
                                               reply.answer->body};
    }
    return answer;
}

auto refused(claim::claim_reply const& reply) -> request::claim_refused {
    auto const overloaded =
        reply.verdict == claim::verdict::shard_full || reply.verdict == claim::verdict::overloaded;
    auto const wait = std::max<base::duration>(reply.retry_after, default_retry);
    return {overloaded ? request::claim_refusal::overloaded
                       : request::claim_refusal::platform_unavailable,
            base::monotonic_clock::now() + wait};
}

auto unanswered() -> request::claim_refused {
    return {request::claim_refusal::platform_unavailable,
            base::monotonic_clock::now() + default_retry};
}

}  // namespace

claim_service::claim_service(runtime::worker_pool& own_pool, claim_hooks own_hooks)
    : pool(&own_pool), hooks(std::move(own_hooks)) {}

auto claim_service::next_claimant() -> claim::claimant {
    auto const self = this->hooks.self();
    return {self.host, self.incarnation, claim::request_number{++this->last_number}};
}

auto claim_service::take(claim::claim_reply const& reply) -> void {
    auto const lock = std::lock_guard{this->mutex};
    auto const found = this->waiting.find(reply_key{reply.number, reply.to_settle});
    if (found != this->waiting.end()) {
        found->second->push(reply);
    }
}

// Asks until a keeper answers for itself; nothing if none did by the deadline.
auto claim_service::ask_until(claim_or_settle const& question, reply_key const& key,
                              base::time_point deadline) -> std::optional<claim::claim_reply> {
    auto const box = std::make_shared<reply_box>();
    {
        auto const lock = std::lock_guard{this->mutex};
        this->waiting[key] = box;
    }
    auto answer = std::optional<claim::claim_reply>{};
    while (!answer && base::monotonic_clock::now() < deadline) {
        auto const asked = this->hooks.ask(shard_of_question(question), question);
        auto const until = base::monotonic_clock::now() + (asked ? ask_again : keeper_pause);
        answer = box->pop(std::min<base::time_point>(until, deadline));
        if (answer && answer->verdict == claim::verdict::not_keeper) {
            answer.reset();
            runtime::sleep_until(base::monotonic_clock::now() + keeper_pause);
        }
    }
    auto const lock = std::lock_guard{this->mutex};
    this->waiting.erase(key);
    return answer;
}

auto claim_service::claim(base::service_id const& service, base::idempotency_key const& key,
                          base::request_id const& request, base::time_point deadline)
    -> request::claim_answer {
    auto const keep_until = wall_now() + claim_retention;
    auto const question = claim::claim_request{this->next_claimant(), service, key, keep_until};
    auto const first_asked = base::monotonic_clock::now();
    auto const reply = this->ask_until(question, {question.claimant.number, false}, deadline);
    if (!reply) {
        this->take_back(question);
        return unanswered();
    }
    if (reply->verdict == claim::verdict::already_claimed) {
        return already(*reply);
    }
    if (reply->verdict != claim::verdict::granted) {
        if (reply->may_be_recorded) {
            this->take_back(question);
        }
        return refused(*reply);
    }
    if (base::monotonic_clock::now() > first_asked + reply->send_within) {
        this->take_back(question);
        return unanswered();
    }
    auto const lock = std::lock_guard{this->mutex};
    this->granted[request] = question.claimant;
    return request::claim_granted{};
}

// Frees the key of a call that is surely not sent.
auto claim_service::take_back(claim::claim_request const& question) -> void {
    this->settle_claim(
        {question.claimant, question.service, question.key, claim::claim_state::not_run, {}});
}

auto claim_service::settle_claim(claim::settle_request const& question) -> void {
    this->pool->spawn([this, question] {
        auto const deadline = base::monotonic_clock::now() + settle_patience;
        static_cast<void>(this->ask_until(question, {question.claimant.number, true}, deadline));
    });
}

auto claim_service::settle(base::service_id const& service, base::idempotency_key const& key,
                           base::request_id const& request, request::claim_state state,
                           std::optional<request::stored_answer> const& answer) -> void {
    auto question = claim::settle_request{};
    {
        auto const lock = std::lock_guard{this->mutex};
        auto const found = this->granted.find(request);
        if (found == this->granted.end()) {
            return;
        }
        question.claimant = found->second;
        this->granted.erase(found);
    }
    question.service = service;
    question.key = key;
    question.state = to_claim(state);
    if (answer) {
        question.answer = claim::stored_answer{answer->status, answer->content_type, answer->body};
    }
    this->settle_claim(question);
}

}  // namespace linnetlane::daemon
