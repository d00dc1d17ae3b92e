#include "linnetlane/daemon/claim_keeper_service.h"

#include <chrono>
#include <utility>

#include "linnetlane/base/result.h"

namespace linnetlane::daemon {

auto wall_now() -> claim::wall_time {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

auto duty_of(claim::shard_number shard) -> std::string {
    return "claims/" + std::to_string(shard.value);
}

claim_keeper_service::claim_keeper_service(coordination::etcd_store& store, std::string writer,
                                           claim_reply_hook own_reply)
    : platform_store(store),
      reply(std::move(own_reply)),
      keeper(claim::limits{}, std::move(writer)) {}

auto claim_keeper_service::start(runtime::worker_pool& pool) -> void {
    this->timer = std::make_unique<ticker>(pool, [this] {
        auto const lock = std::lock_guard{this->mutex};
        this->run(claim::tick{wall_now()});
        return this->keeper.next_deadline();
    });
}

auto claim_keeper_service::submit(claim_or_settle const& keeper_request) -> void {
    this->handle(claim::request_received{keeper_request, wall_now()});
}

auto claim_keeper_service::update_view(claim::view_changed const& view) -> void {
    this->handle(view);
}

auto claim_keeper_service::handle(claim::event const& event) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->run(event);
    if (this->timer) {
        this->timer->wake_by(this->keeper.next_deadline());
    }
}

// Requires `mutex` to be held.
auto claim_keeper_service::run(claim::event const& event) -> void {
    auto const perform = base::overloaded{
        [&](claim::reply const& command) { this->reply(command.to, command.message); },
        [&](claim::call_store const& command) {
            this->platform_store.call(command.call,
                                      [this](coordination::store_answer const& answer) {
                                          this->handle(claim::store_answered{answer, wall_now()});
                                      });
        },
    };
    for (auto const& command : this->keeper.handle(event, base::monotonic_clock::now())) {
        std::visit(perform, command);
    }
}

}  // namespace linnetlane::daemon
