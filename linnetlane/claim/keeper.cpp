#include "linnetlane/claim/keeper.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "linnetlane/claim/record.h"

namespace linnetlane::claim {

keeper::keeper(limits claim_limits, std::string writer)
    : bounds(claim_limits), writer_name(std::move(writer)) {}

auto keeper::handle(event const& incoming, base::time_point now) -> std::vector<command> {
    this->commands.clear();
    std::visit([&](auto const& each) { this->on(each, now); }, incoming);
    this->run_due(now);
    return std::move(this->commands);
}

auto keeper::next_deadline() const -> base::time_point {
    auto next = base::time_point::max();
    for (auto const& [number, shard] : this->shards) {
        next = std::min(next, shard.next_deadline());
    }
    return next;
}

auto keeper::on(request_received const& notice, base::time_point now) -> void {
    this->wall = notice.wall;
    auto context = this->context_at(now);
    auto const number = std::visit(
        [&](auto const& each) { return shard_of(each.service, each.key, this->bounds.shards); },
        notice.request);
    auto const found = this->shards.find(number);
    if (found != this->shards.end()) {
        found->second.submit(notice.request, context);
        return;
    }
    auto answer = claim_reply{};
    answer.verdict = verdict::not_keeper;
    answer.to_settle = std::holds_alternative<settle_request>(notice.request);
    auto const& sender = std::visit(
        [](auto const& each) -> claimant const& { return each.claimant; }, notice.request);
    answer.number = sender.number;
    this->commands.emplace_back(reply{sender.host, std::move(answer)});
}

auto keeper::on(store_answered const& notice, base::time_point now) -> void {
    this->wall = notice.wall;
    auto context = this->context_at(now);
    for (auto& [number, shard] : this->shards) {
        if (shard.handle(notice.answer, context)) {
            return;
        }
    }
}

auto keeper::on(view_changed const& notice, base::time_point now) -> void {
    this->present = notice.present;
    auto context = this->context_at(now);
    for (auto& [number, shard] : this->shards) {
        if (!notice.kept.contains(number)) {
            shard.redirect_waiting(context);
        }
    }
    std::erase_if(this->shards,
                  [&](auto const& each) { return !notice.kept.contains(each.first); });
    for (auto const number : notice.kept) {
        this->shards.try_emplace(number, number, this->bounds, this->writer_name);
    }
}

auto keeper::on(tick const& notice, base::time_point /*now*/) -> void {
    this->wall = notice.wall;
}

auto keeper::run_due(base::time_point now) -> void {
    auto context = this->context_at(now);
    for (auto& [number, shard] : this->shards) {
        shard.run_due(context);
    }
}

auto keeper::context_at(base::time_point now) -> keeper_context {
    return {now, this->wall, this->present, this->last_call, this->commands};
}

}  // namespace linnetlane::claim
