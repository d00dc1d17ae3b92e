#include "linnetlane/daemon/document_service.h"

#include <random>
#include <utility>

#include "linnetlane/base/result.h"
#include "linnetlane/daemon/entry_request.h"
#include "linnetlane/service/parse.h"

namespace linnetlane::daemon {

namespace {

// Returns the errors of the version's text, one a line; nothing if it is valid.
auto validate(document::version const& version) -> std::optional<document::validation_error> {
    auto const parsed = service::parse_document(version.text);
    if (auto const* const errors = base::failure_of(parsed)) {
        auto text = std::string{};
        for (auto const& error : *errors) {
            text += service::to_string(error) + '\n';
        }
        return document::validation_error{std::move(text)};
    }
    if (base::value_of(parsed).id != version.service) {
        return document::validation_error{"the document's id is not the service's name\n"};
    }
    return std::nullopt;
}

}  // namespace

document_service::document_service(coordination::etcd_store& platform, document_hooks own_hooks)
    : platform_store(platform),
      hooks(std::move(own_hooks)),
      store(validate, std::random_device{}()) {}

auto document_service::start(runtime::worker_pool& pool) -> void {
    this->timer = std::make_unique<ticker>(pool, [this] {
        auto const lock = std::lock_guard{this->mutex};
        this->run(document::tick{});
        return this->store.next_deadline();
    });
}

auto document_service::handle(document::event const& event) -> void {
    auto const lock = std::lock_guard{this->mutex};
    this->run(event);
    if (this->timer) {
        this->timer->wake_by(this->store.next_deadline());
    }
}

// Requires `mutex` to be held.
auto document_service::run(document::event const& event) -> void {
    for (auto const& command : this->store.handle(event, base::monotonic_clock::now())) {
        this->perform(command);
    }
}

// Requires `mutex` to be held.
auto document_service::perform(document::command const& command) -> void {
    std::visit(base::overloaded{
                   [&](document::send const& what) { this->hooks.send(what.to, what.message); },
                   [&](document::call_store const& what) { this->call(what.call); },
                   [&](document::in_force const& what) { this->hooks.in_force(what.version); },
                   [&](document::invalid_document const& what) { this->hooks.invalid(what); },
                   [&](document::documents_known const&) { this->hooks.all_known(); },
                   [&](auto const& outcome) { this->complete_call(outcome.number, outcome); },
               },
               command);
}

auto document_service::call(coordination::store_call const& call) -> void {
    this->platform_store.call(call, [this](coordination::store_answer const& answer) {
        this->handle(document::store_answered{answer});
    });
}

// Requires `mutex` to be held.
auto document_service::complete_call(document::apply_number number, operator_outcome const& outcome)
    -> void {
    auto const found = this->pending_calls.find(number);
    if (found != this->pending_calls.end()) {
        found->second.set_value(outcome);
        this->pending_calls.erase(found);
    }
}

template <typename Make>
auto document_service::run_operator_call(Make make) -> operator_outcome {
    auto promise = outcome_promise{};
    auto future = promise.get_future();
    auto number = document::apply_number{};
    {
        auto const lock = std::lock_guard{this->mutex};
        this->last_number = this->last_number.next();
        number = this->last_number;
        this->pending_calls.emplace(number, std::move(promise));
    }
    this->handle(make(number));
    return future.get();
}

auto document_service::apply(base::service_id const& service, base::generation replaces,
                             std::optional<std::string> text) -> change_outcome {
    auto const outcome = this->run_operator_call([&](document::apply_number number) {
        auto const write_id = base::to_string(make_request_id());
        return document::apply{number, service, replaces, std::move(text), write_id};
    });
    return std::visit(
        base::overloaded{
            [](document::history_read const&) -> change_outcome { return document::refused{}; },
            [](auto const& ended) -> change_outcome { return ended; },
        },
        outcome);
}

auto document_service::history(base::service_id const& service) -> history_outcome {
    auto const outcome = this->run_operator_call([&](document::apply_number number) {
        return document::history{number, service};
    });
    if (auto const* const read = std::get_if<document::history_read>(&outcome)) {
        return *read;
    }
    if (auto const* const refused = std::get_if<document::refused>(&outcome)) {
        return *refused;
    }
    return document::refused{};
}

auto document_service::all_known() const -> bool {
    auto const lock = std::lock_guard{this->mutex};
    return this->store.all_known();
}

auto document_service::digest() const -> std::uint64_t {
    auto const lock = std::lock_guard{this->mutex};
    return this->store.table().digest();
}

auto document_service::versions() const -> std::vector<document::version> {
    auto const lock = std::lock_guard{this->mutex};
    auto versions = std::vector<document::version>{};
    for (auto const& [service, version] : this->store.table().all()) {
        versions.push_back(version);
    }
    return versions;
}

}  // namespace linnetlane::daemon
