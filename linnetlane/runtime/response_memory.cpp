#include "linnetlane/runtime/response_memory.h"

#include <algorithm>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "linnetlane/runtime/worker_pool.h"

namespace linnetlane::runtime {

namespace {

constexpr auto default_limit = base::byte_count{std::int64_t{128} * 1024 * 1024};

auto by_bytes(auto const& left, auto const& right) -> bool {
    return left.bytes < right.bytes;
}

}  // namespace

response_memory::response_memory(base::byte_count most) : limit{most} {}

auto response_memory::set_limit(base::byte_count most) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->limit = most;
}

auto response_memory::on_give_way(observer wanted) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->notice = std::move(wanted);
}

auto response_memory::in_use() const -> base::byte_count {
    auto const lock = std::lock_guard{this->mutex};
    return this->received + this->sent;
}

auto response_memory::sum(response_direction direction) -> base::byte_count& {
    return direction == response_direction::received ? this->received : this->sent;
}

auto response_memory::change(groups_by_key::value_type& group, held_response& held,
                             base::byte_count to) -> void {
    auto const added = to - held.bytes;
    held.bytes = to;
    group.second.bytes += added;
    this->sum(group.first.direction) += added;
}

// Called only if responses hold memory.
auto response_memory::make_one_give_way() -> void {
    auto const direction = this->received + this->received > this->limit
                               ? response_direction::received
                               : response_direction::sent;
    auto largest = this->groups.end();
    for (auto each = this->groups.begin(); each != this->groups.end(); ++each) {
        if (each->first.direction == direction &&
            (largest == this->groups.end() || by_bytes(largest->second, each->second))) {
            largest = each;
        }
    }
    auto& responses = largest->second.responses;
    auto const chosen =
        direction == response_direction::received
            ? std::ranges::max_element(responses, by_bytes<held_response, held_response>)
            : std::ranges::find_if(responses,
                                   [](auto const& each) { return each.bytes.value > 0; });
    auto const held = chosen->bytes;
    this->change(*largest, *chosen, base::byte_count{0});
    chosen->gave_way = true;
    chosen->give_way();
    if (this->notice) {
        this->notice(largest->first, held);
    }
}

response_memory::share::share(response_memory& shared, response_group key,
                              std::function<void()> give_way)
    : memory{&shared} {
    auto const lock = std::lock_guard{this->memory->mutex};
    this->group = this->memory->groups.try_emplace(std::move(key)).first;
    auto& responses = this->group->second.responses;
    this->held =
        responses.insert(responses.end(), {base::byte_count{0}, false, std::move(give_way)});
}

response_memory::share::~share() {
    auto const lock = std::lock_guard{this->memory->mutex};
    this->memory->change(*this->group, *this->held, base::byte_count{0});
    this->group->second.responses.erase(this->held);
    if (this->group->second.responses.empty()) {
        this->memory->groups.erase(this->group);
    }
}

auto response_memory::share::resize(base::byte_count bytes) -> bool {
    auto const lock = std::lock_guard{this->memory->mutex};
    if (!this->held->gave_way) {
        this->memory->change(*this->group, *this->held, bytes);
        while (this->memory->received + this->memory->sent > this->memory->limit) {
            this->memory->make_one_give_way();
        }
    }
    return !this->held->gave_way;
}

auto process_response_memory() -> response_memory& {
    // Never destroyed, since abandoned fibers may refer to it at the end of the process.
    static auto& memory = *new response_memory{default_limit};
    return memory;
}

kept_response::kept_response(base::endpoint const& from, http_response response)
    : kept{std::make_shared<std::optional<http_response>>(std::move(response))} {
    auto give_way = [&context = this_context(), response_to_drop = this->kept] {
        boost::asio::post(context, [response_to_drop] { response_to_drop->reset(); });
    };
    auto const bytes = static_cast<std::int64_t>((*this->kept)->body.capacity());
    this->share = std::make_unique<response_memory::share>(
        process_response_memory(), response_group{response_direction::received, from},
        std::move(give_way));
    if (!this->share->resize(base::byte_count{bytes})) {
        this->kept->reset();
    }
}

auto kept_response::take() -> std::optional<http_response> {
    this->share.reset();
    return std::exchange(*this->kept, std::nullopt);
}

}  // namespace linnetlane::runtime
