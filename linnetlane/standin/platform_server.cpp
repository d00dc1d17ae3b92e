#include "linnetlane/standin/platform_server.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

#include "linnetlane/runtime/http.h"
#include "linnetlane/standin/json_fields.h"
#include "linnetlane/standin/platform_json.h"

namespace linnetlane::standin {

namespace {

using json = nlohmann::json;
using std::chrono::milliseconds;

enum class outage { none, refuse, cut, silent };

// Interval at which a waiting watch or a frozen call polls.
constexpr auto poll_interval = milliseconds{5};
// How long a call is left unanswered in a silent outage before its connection closes.
constexpr auto silent_call_timeout = std::chrono::minutes{5};

constexpr auto code_unavailable = 14;
constexpr auto code_exhausted = 8;
constexpr auto code_invalid_argument = 3;

auto kind_name(call_kind kind) -> char const* {
    switch (kind) {
        case call_kind::range:
            return "range";
        case call_kind::put:
            return "put";
        case call_kind::delete_range:
            return "deleterange";
        case call_kind::transaction:
            return "txn";
        case call_kind::lease_grant:
            return "lease_grant";
        case call_kind::lease_keep_alive:
            return "lease_keepalive";
        case call_kind::lease_revoke:
            return "lease_revoke";
        case call_kind::watch:
            return "watch";
    }
    return "unknown";
}

auto kind_of(std::string_view path) -> std::optional<call_kind> {
    static auto const kinds = std::map<std::string_view, call_kind>{
        {"/v3/kv/range", call_kind::range},
        {"/v3/kv/put", call_kind::put},
        {"/v3/kv/deleterange", call_kind::delete_range},
        {"/v3/kv/txn", call_kind::transaction},
        {"/v3/lease/grant", call_kind::lease_grant},
        {"/v3/lease/keepalive", call_kind::lease_keep_alive},
        {"/v3/lease/revoke", call_kind::lease_revoke},
        {"/v3/kv/lease/revoke", call_kind::lease_revoke},
        {"/v3/watch", call_kind::watch},
    };
    auto const found = kinds.find(path);
    if (found == kinds.end()) {
        return std::nullopt;
    }
    return found->second;
}

auto read_outage(std::string const& text) -> outage {
    if (text == "refuse") {
        return outage::refuse;
    }
    if (text == "cut") {
        return outage::cut;
    }
    return text == "silent" ? outage::silent : outage::none;
}

auto read_milliseconds(json const& body, char const* name, base::duration fallback)
    -> base::duration {
    auto const fallback_count = std::chrono::duration_cast<milliseconds>(fallback).count();
    return milliseconds{integer_field(body, name, fallback_count)};
}

auto json_response(int status, json const& body) -> runtime::http_response {
    auto response = runtime::http_response{.status = status, .fields = {}, .body = to_text(body)};
    response.fields.add("Content-Type", "application/json");
    return response;
}

auto failure_response(failure_text const& failure) -> runtime::http_response {
    return json_response(failure.status, failure.body);
}

auto now() -> base::time_point {
    return base::monotonic_clock::now();
}

}  // namespace

struct platform_server::state {
    explicit state(platform_limits limits) : model(limits) {}

    auto serve(runtime::http_request const& request, runtime::http_responder& responder) -> void;
    auto serve_call(call_kind kind, json const& body, runtime::http_responder& responder) -> void;
    auto serve_watch(json const& body, runtime::http_responder& responder) -> void;
    auto deliver(std::int64_t watch, runtime::http_responder& responder) -> bool;
    auto apply_outage(runtime::http_responder& responder) -> bool;
    auto apply_delays(runtime::http_responder& responder) -> void;
    auto answer(call_kind kind, json const& body) -> runtime::http_response;
    auto answer_keep_alive(json const& body) -> json;
    auto answer_transaction(transaction_request const& request) -> runtime::http_response;
    auto control(json const& body) -> runtime::http_response;
    auto set_model_faults(json const& body) -> void;
    auto stats() -> runtime::http_response;
    auto loses_answer(call_kind kind) -> bool;

    std::atomic<outage> current_outage = outage::none;
    std::atomic<bool> frozen = false;
    std::atomic<std::int64_t> slow_milliseconds = 0;
    std::atomic<std::int64_t> lose_answers = 0;
    std::atomic<std::int64_t> lost_answers = 0;
    double writes_per_second = platform_limits{}.writes_per_second;
    double reads_per_second = platform_limits{}.reads_per_second;
    // Guards the model; never held across a call that suspends.
    std::mutex mutex;
    platform_model model;
    std::unique_ptr<runtime::http_server> server;
};

auto platform_server::state::serve(runtime::http_request const& request,
                                   runtime::http_responder& responder) -> void {
    auto const body = parse_object(request.body);
    if (!body) {
        responder.send(failure_response(write_failure(400, code_invalid_argument, "not JSON")));
        return;
    }
    if (request.target == "/control") {
        responder.send(this->control(*body));
        return;
    }
    if (request.target == "/control/stats") {
        responder.send(this->stats());
        return;
    }
    auto const kind = kind_of(request.target);
    if (!kind || request.method != "POST") {
        responder.send(failure_response(write_failure(404, 5, "Not Found")));
        return;
    }
    this->serve_call(*kind, *body, responder);
}

auto platform_server::state::serve_call(call_kind kind, json const& body,
                                        runtime::http_responder& responder) -> void {
    this->apply_delays(responder);
    if (this->apply_outage(responder)) {
        return;
    }
    auto const writes = kind != call_kind::transaction || has_writes(read_transaction(body));
    auto admitted = false;
    {
        auto const lock = std::scoped_lock{this->mutex};
        admitted = this->model.admit(kind, writes, now());
    }
    if (!admitted) {
        responder.send(
            failure_response(write_failure(429, code_exhausted, "etcdserver: too many requests")));
        return;
    }
    if (kind == call_kind::watch) {
        this->serve_watch(body, responder);
        return;
    }
    auto const response = this->answer(kind, body);
    if (writes && this->loses_answer(kind)) {
        responder.abort();
        return;
    }
    responder.send(response);
}

// Waits for the configured delay and for the end of a freeze.
auto platform_server::state::apply_delays(runtime::http_responder& responder) -> void {
    auto const slow = this->slow_milliseconds.load();
    if (slow > 0) {
        runtime::sleep_until(now() + milliseconds{slow});
    }
    while (this->frozen && !responder.client_disconnected()) {
        runtime::sleep_until(now() + poll_interval);
    }
}

// Applies the current outage to a call. Returns true if the call is finished by it.
auto platform_server::state::apply_outage(runtime::http_responder& responder) -> bool {
    auto const kind = this->current_outage.load();
    if (kind == outage::refuse) {
        responder.send(
            failure_response(write_failure(503, code_unavailable, "etcdserver: no leader")));
        return true;
    }
    if (kind == outage::silent) {
        auto const until = now() + silent_call_timeout;
        while (!responder.client_disconnected() && now() < until &&
               this->current_outage == outage::silent) {
            runtime::sleep_until(now() + poll_interval);
        }
    }
    if (kind != outage::none) {
        responder.abort();
        return true;
    }
    return false;
}

auto platform_server::state::loses_answer(call_kind kind) -> bool {
    if (kind == call_kind::range || this->lose_answers <= 0) {
        return false;
    }
    if (this->lose_answers.fetch_sub(1) <= 0) {
        this->lose_answers = 0;
        return false;
    }
    ++this->lost_answers;
    return true;
}

auto platform_server::state::answer(call_kind kind, json const& body) -> runtime::http_response {
    auto const lock = std::scoped_lock{this->mutex};
    switch (kind) {
        case call_kind::range: {
            auto const found = this->model.range(read_range(body), now());
            return json_response(200, write_range(found, this->model.revision()));
        }
        case call_kind::put: {
            auto const outcome = this->model.put(read_put(body), now());
            if (auto const* failure = base::failure_of(outcome)) {
                return failure_response(write_failure(*failure));
            }
            return json_response(200, write_header(this->model.revision()));
        }
        case call_kind::delete_range: {
            auto const erased = this->model.erase(read_delete(body), now());
            return json_response(200, write_delete(erased, this->model.revision()));
        }
        case call_kind::transaction:
            return this->answer_transaction(read_transaction(body));
        case call_kind::lease_grant: {
            auto const outcome = this->model.grant_lease(integer_field(body, "ID"),
                                                         integer_field(body, "TTL"), now());
            if (auto const* failure = base::failure_of(outcome)) {
                return failure_response(write_failure(*failure));
            }
            auto const& lease = base::value_of(outcome);
            return json_response(200, write_lease(lease, this->model.revision()));
        }
        case call_kind::lease_keep_alive:
            return json_response(200, this->answer_keep_alive(body));
        case call_kind::lease_revoke: {
            auto const outcome = this->model.revoke_lease(integer_field(body, "ID"), now());
            if (auto const* failure = base::failure_of(outcome)) {
                return failure_response(write_failure(*failure));
            }
            return json_response(200, write_header(this->model.revision()));
        }
        case call_kind::watch:
            break;
    }
    return failure_response(write_failure(404, 5, "Not Found"));
}

auto platform_server::state::answer_keep_alive(json const& body) -> json {
    auto const kept = this->model.keep_alive(integer_field(body, "ID"), now());
    return json{{"result", write_lease(kept, this->model.revision())}};
}

auto platform_server::state::answer_transaction(transaction_request const& request)
    -> runtime::http_response {
    auto const outcome = this->model.transact(request, now());
    if (auto const* failure = base::failure_of(outcome)) {
        return failure_response(write_failure(*failure));
    }
    auto const& answer = base::value_of(outcome);
    return json_response(200, write_transaction(answer, this->model.revision()));
}

auto platform_server::state::serve_watch(json const& body, runtime::http_responder& responder)
    -> void {
    auto watch = std::int64_t{0};
    auto created = json{};
    {
        auto const lock = std::scoped_lock{this->mutex};
        watch = this->model.open_watch(read_watch(body), now());
        created = write_header(this->model.revision());
    }
    created["created"] = true;
    auto fields = runtime::http_fields{};
    fields.add("Content-Type", "application/json");
    responder.start(200, fields);
    responder.write(to_text(json{{"result", created}}) + "\n");
    while (this->deliver(watch, responder)) {
        runtime::sleep_until(now() + poll_interval);
    }
    auto const lock = std::scoped_lock{this->mutex};
    this->model.close_watch(watch);
}

// Sends the pending changes of a watch. Returns false if the watch has ended.
auto platform_server::state::deliver(std::int64_t watch, runtime::http_responder& responder)
    -> bool {
    if (responder.client_disconnected()) {
        return false;
    }
    if (this->frozen) {
        return true;
    }
    if (this->current_outage != outage::none) {
        responder.abort();
        return false;
    }
    auto delivery = watch_delivery{};
    {
        auto const lock = std::scoped_lock{this->mutex};
        delivery = this->model.poll_watch(watch, now());
    }
    if (delivery.compact_revision) {
        auto canceled = write_header(*delivery.compact_revision);
        canceled["canceled"] = true;
        canceled["compact_revision"] = std::to_string(*delivery.compact_revision);
        responder.write(to_text(json{{"result", canceled}}) + "\n");
        responder.finish();
        return false;
    }
    if (delivery.ended) {
        responder.abort();
        return false;
    }
    if (delivery.changes.empty()) {
        return true;
    }
    return responder.write(to_text(write_changes(delivery)) + "\n");
}

auto platform_server::state::control(json const& body) -> runtime::http_response {
    if (has_field(body, "outage")) {
        this->current_outage = read_outage(text_field(body, "outage"));
    }
    this->frozen = flag_field(body, "freeze", this->frozen);
    this->slow_milliseconds = integer_field(body, "slow_ms", this->slow_milliseconds);
    this->lose_answers = integer_field(body, "lose_answers", this->lose_answers);
    auto const lock = std::scoped_lock{this->mutex};
    this->set_model_faults(body);
    if (has_field(body, "compact")) {
        this->model.compact(integer_field(body, "compact"));
    }
    if (has_field(body, "keep_copy")) {
        this->model.keep_copy(text_field(body, "keep_copy"));
    }
    if (has_field(body, "restore_copy") &&
        !this->model.restore_copy(text_field(body, "restore_copy"), now())) {
        return failure_response(write_failure(404, 5, "no such copy"));
    }
    return json_response(200, json{{"revision", this->model.revision()}});
}

auto platform_server::state::set_model_faults(json const& body) -> void {
    auto wanted = this->model.faults();
    wanted.watch.delay = read_milliseconds(body, "watch_delay_ms", wanted.watch.delay);
    wanted.watch.drop_each = integer_field(body, "watch_drop_each", wanted.watch.drop_each);
    wanted.watch.reorder_each =
        integer_field(body, "watch_reorder_each", wanted.watch.reorder_each);
    wanted.watch.reorder_hold =
        read_milliseconds(body, "watch_reorder_hold_ms", wanted.watch.reorder_hold);
    wanted.host_list_lag = read_milliseconds(body, "host_list_lag_ms", wanted.host_list_lag);
    this->model.set_faults(wanted);
    if (has_field(body, "writes_per_second") || has_field(body, "reads_per_second")) {
        this->writes_per_second = number_field(body, "writes_per_second", this->writes_per_second);
        this->reads_per_second = number_field(body, "reads_per_second", this->reads_per_second);
        this->model.set_rates(this->writes_per_second, this->reads_per_second);
    }
}

auto platform_server::state::stats() -> runtime::http_response {
    auto const lock = std::scoped_lock{this->mutex};
    auto calls = json::object();
    for (auto const& [kind, count] : this->model.stats()) {
        calls[kind_name(kind)] = json{{"admitted", count.admitted}, {"over_rate", count.over_rate}};
    }
    return json_response(200, json{{"calls", calls},
                                   {"revision", this->model.revision()},
                                   {"waiting_watches", this->model.waiting_watches()},
                                   {"leases", this->model.lease_count()},
                                   {"lost_answers", this->lost_answers.load()}});
}

platform_server::platform_server(runtime::worker_pool& pool, base::endpoint const& address,
                                 platform_limits limits)
    : shared(std::make_shared<state>(limits)) {
    auto* const serving = this->shared.get();
    this->shared->writes_per_second = limits.writes_per_second;
    this->shared->reads_per_second = limits.reads_per_second;
    this->shared->server = std::make_unique<runtime::http_server>(
        pool, address, runtime::http_limits{},
        [serving](runtime::http_request const& request, runtime::http_responder& responder) {
            serving->serve(request, responder);
        });
}

platform_server::~platform_server() = default;

auto platform_server::address() const -> base::endpoint {
    return this->shared->server->address();
}

}  // namespace linnetlane::standin
