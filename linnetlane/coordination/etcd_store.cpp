#include "linnetlane/coordination/etcd_store.h"

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "linnetlane/base/result.h"
#include "linnetlane/coordination/etcd_json.h"
#include "linnetlane/runtime/http.h"

namespace linnetlane::coordination {

namespace {

// Time for one call, from the connect to the end of the answer.
constexpr auto call_timeout = std::chrono::seconds{2};
// A watch that receives nothing for this time ends, since its connection may be dead. Its owner
// starts a new one.
constexpr auto watch_idle_timeout = std::chrono::seconds{60};
constexpr auto max_answer_bytes = std::size_t{32} * 1024 * 1024;
constexpr auto max_watch_line_bytes = std::size_t{32} * 1024 * 1024;

constexpr auto status_ok = 200;
constexpr auto status_too_many_requests = 429;

auto to_http(gateway_request const& request) -> runtime::http_request {
    auto out = runtime::http_request{"POST", request.target, {}, request.body};
    out.fields.add("content-type", "application/json");
    return out;
}

auto outcome_of(store_answer const& answer) -> call_outcome {
    auto const* const failed = std::get_if<call_failed>(&answer);
    if (failed == nullptr) {
        return call_outcome::answered;
    }
    return failed->reach == call_reach::not_run ? call_outcome::not_run
                                                : call_outcome::may_have_run;
}

// Removes and returns the first complete line of `text`.
auto take_line(std::string& text) -> std::optional<std::string> {
    auto const end = text.find('\n');
    if (end == std::string::npos) {
        return std::nullopt;
    }
    auto line = text.substr(0, end);
    text.erase(0, end + 1);
    return line;
}

}  // namespace

struct etcd_store::state : std::enable_shared_from_this<etcd_store::state> {
    // A watch that is open. `stream` is used on `worker` only.
    struct open_watch {
        runtime::worker_index worker;
        std::atomic<bool> stopped = false;
        runtime::http_stream* stream = nullptr;
    };

    state(runtime::worker_pool& own_pool, std::vector<base::endpoint> own_gateways,
          call_observer own_observer)
        : pool(own_pool), gateways(std::move(own_gateways)), observer(std::move(own_observer)) {}

    runtime::worker_pool& pool;
    std::vector<base::endpoint> gateways;
    call_observer observer;
    // Index of the gateway to try first: the last one that answered, or the next after one whose
    // request may have been sent without an answer.
    std::atomic<std::size_t> preferred = 0;
    std::mutex mutex;
    // Guarded by `mutex`.
    std::map<call_number, std::shared_ptr<open_watch>> watches;

    // Sends the request to the preferred gateway or, if it can't be reached, to the next one.
    auto open(runtime::http_request const& request, base::time_point deadline)
        -> base::result<runtime::http_stream, runtime::http_failure> {
        auto last = runtime::http_failure{};
        auto const first = this->preferred.load();
        for (auto step = std::size_t{0}; step < this->gateways.size(); ++step) {
            auto const index = (first + step) % this->gateways.size();
            auto opened = runtime::open_stream(this->gateways[index], request,
                                               runtime::connection_use::pooled, deadline);
            if (base::succeeded(opened)) {
                this->preferred = index;
                return opened;
            }
            last = *base::failure_of(opened);
            if (last.send_state == runtime::send_state::may_have_been_sent) {
                this->preferred = index + 1;
                return last;
            }
        }
        return last;
    }

    template <typename Call, typename Parse>
    auto exchange(Call const& call, Parse parse) -> store_answer {
        auto const deadline = base::monotonic_clock::now() + call_timeout;
        auto opened = this->open(to_http(to_gateway(call)), deadline);
        if (auto const* failure = base::failure_of(opened)) {
            return failed(call.call, failure->send_state);
        }
        auto stream = base::take_value(std::move(opened));
        auto const body = stream.read_all(max_answer_bytes, deadline);
        if (stream.status() == status_too_many_requests) {
            return call_failed{call.call, call_reach::not_run};
        }
        if (!base::succeeded(body) || stream.status() != status_ok) {
            return call_failed{call.call, call_reach::may_have_run};
        }
        auto parsed = parse(call.call, base::value_of(body));
        if (!base::succeeded(parsed)) {
            return call_failed{call.call, call_reach::may_have_run};
        }
        return base::take_value(std::move(parsed));
    }

    static auto failed(call_number call, runtime::send_state reach) -> store_answer {
        auto const run =
            reach == runtime::send_state::not_sent ? call_reach::not_run : call_reach::may_have_run;
        return call_failed{call, run};
    }

    auto run(read_key const& call) -> store_answer { return this->exchange(call, parse_entries); }
    auto run(read_prefix const& call) -> store_answer {
        return this->exchange(call, parse_entries);
    }
    auto run(compare_and_swap const& call) -> store_answer {
        return this->exchange(call, parse_swap);
    }
    auto run(grant_lease const& call) -> store_answer {
        return this->exchange(call, parse_granted);
    }
    auto run(keep_alive const& call) -> store_answer { return this->exchange(call, parse_kept); }
    auto run(revoke_lease const& call) -> store_answer {
        return this->exchange(call, [](call_number number, std::string_view /*text*/) {
            return gateway_answer{store_answer{lease_kept{number, false}}};
        });
    }

    auto report_outcome(store_call const& call, call_outcome outcome, base::time_point started_at)
        -> void {
        if (this->observer) {
            this->observer(call, outcome, base::monotonic_clock::now() - started_at);
        }
    }

    // ---- Watches ----

    auto start_watch(watch_prefix const& call, answer_callback callback) -> void {
        auto const watch = std::make_shared<open_watch>();
        {
            auto const lock = std::lock_guard(this->mutex);
            this->watches[call.call] = watch;
        }
        this->pool.spawn(
            [self = this->shared_from_this(), call, watch, callback = std::move(callback)] {
                auto const started_at = base::monotonic_clock::now();
                watch->worker = runtime::this_worker();
                self->run_watch(call, *watch, callback);
                self->remove_watch(call.call);
                self->report_outcome(call, call_outcome::answered, started_at);
                if (!watch->stopped) {
                    callback(watch_ended{call.call});
                }
            });
    }

    auto remove_watch(call_number call) -> void {
        auto const lock = std::lock_guard(this->mutex);
        this->watches.erase(call);
    }

    auto stop_watch(call_number call) -> void {
        auto const lock = std::lock_guard(this->mutex);
        auto const found = this->watches.find(call);
        if (found == this->watches.end()) {
            return;
        }
        auto const watch = found->second;
        watch->stopped = true;
        this->pool.spawn_on(watch->worker, [watch] {
            if (watch->stream != nullptr) {
                watch->stream->close();
            }
        });
    }

    auto run_watch(watch_prefix const& call, open_watch& watch, answer_callback const& callback)
        -> void {
        auto const deadline = base::monotonic_clock::now() + call_timeout;
        auto opened = this->open(to_http(to_gateway(call)), deadline);
        if (!base::succeeded(opened)) {
            return;
        }
        auto stream = base::take_value(std::move(opened));
        watch.stream = &stream;
        this->read_lines(call, watch, callback);
        watch.stream = nullptr;
        stream.close();
    }

    auto read_lines(watch_prefix const& call, open_watch& watch, answer_callback const& callback)
        -> void {
        auto text = std::string{};
        while (!watch.stopped && watch.stream->status() == status_ok) {
            auto const part =
                watch.stream->read_some(base::monotonic_clock::now() + watch_idle_timeout);
            if (!base::succeeded(part) || base::value_of(part).empty()) {
                return;
            }
            text += base::value_of(part);
            while (auto const line = take_line(text)) {
                if (!this->handle_line(call, watch, *line, callback)) {
                    return;
                }
            }
            if (text.size() > max_watch_line_bytes) {
                return;
            }
            watch.stream->note_kept(text.capacity());
        }
    }

    // Passes the changes of one line to `callback`; returns false if the watch has ended.
    auto handle_line(watch_prefix const& call, open_watch const& watch, std::string const& line,
                     answer_callback const& callback) -> bool {
        auto const parsed = parse_watch_line(call.call, line);
        if (watch.stopped || !base::succeeded(parsed)) {
            return false;
        }
        auto const* const changes = std::get_if<watch_changes>(&base::value_of(parsed));
        if (changes == nullptr) {
            return false;
        }
        if (!changes->changed.empty()) {
            callback(*changes);
        }
        return true;
    }
};

etcd_store::etcd_store(runtime::worker_pool& pool, std::vector<base::endpoint> gateways,
                       call_observer observer)
    : shared(std::make_shared<state>(pool, std::move(gateways), std::move(observer))) {}

auto etcd_store::call(store_call const& call, answer_callback callback) -> void {
    if (auto const* const watch = std::get_if<watch_prefix>(&call)) {
        this->shared->start_watch(*watch, std::move(callback));
        return;
    }
    if (auto const* const stop = std::get_if<stop_watch>(&call)) {
        this->shared->stop_watch(stop->call);
        return;
    }
    this->shared->pool.spawn([self = this->shared, call, callback = std::move(callback)] {
        auto const started_at = base::monotonic_clock::now();
        auto const answer = std::visit(
            [&](auto const& one) -> store_answer {
                using kind = std::decay_t<decltype(one)>;
                if constexpr (std::is_same_v<kind, watch_prefix> ||
                              std::is_same_v<kind, coordination::stop_watch>) {
                    return call_failed{one.call, call_reach::not_run};
                } else {
                    return self->run(one);
                }
            },
            call);
        self->report_outcome(call, outcome_of(answer), started_at);
        callback(answer);
    });
}

}  // namespace linnetlane::coordination
