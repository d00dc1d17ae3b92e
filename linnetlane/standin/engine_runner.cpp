#include "linnetlane/standin/engine_runner.h"

#include <utility>

namespace linnetlane::standin {

namespace {

// Longest time that the runner waits when no work is due.
constexpr auto max_idle_wait = std::chrono::seconds{1};

}  // namespace

engine_runner::engine_runner(engine_settings const& settings) : model(settings) {}

auto engine_runner::start(runtime::worker_pool& pool) -> void {
    pool.spawn([self = this->shared_from_this()] { self->run(); });
}

auto engine_runner::run() -> void {
    auto lock = std::unique_lock{this->mutex};
    while (true) {
        auto const now = base::monotonic_clock::now();
        auto due = std::optional<base::time_point>{};
        if (!this->frozen) {
            this->deliver(this->model.advance(now));
            due = this->model.next_due();
        }
        this->wake.wait_until(lock, due.value_or(now + max_idle_wait));
    }
}

auto engine_runner::deliver(std::vector<engine_notice> const& notices) -> void {
    for (auto const& notice : notices) {
        auto const found = this->mailboxes.find(job_of(notice));
        if (found != this->mailboxes.end()) {
            found->second->notices.push_back(notice);
            found->second->changed.notify_one();
        }
    }
}

auto engine_runner::open_mailbox(job_number job) -> submission {
    auto const box = std::make_shared<mailbox>();
    this->mailboxes[job] = box;
    this->wake.notify_one();
    return submission{job, box};
}

auto engine_runner::submit_prefill(prefill_request const& request) -> submission {
    auto const lock = std::scoped_lock{this->mutex};
    return this->open_mailbox(this->model.submit_prefill(request, base::monotonic_clock::now()));
}

auto engine_runner::submit_decode(decode_request const& request)
    -> base::result<submission, decode_refusal> {
    auto const lock = std::scoped_lock{this->mutex};
    auto const outcome = this->model.submit_decode(request, base::monotonic_clock::now());
    if (auto const* refusal = base::failure_of(outcome)) {
        return *refusal;
    }
    return this->open_mailbox(base::value_of(outcome));
}

auto engine_runner::wait(mailbox& box) -> std::vector<engine_notice> {
    auto lock = std::unique_lock{this->mutex};
    box.changed.wait(lock, [&] { return box.closed || !box.notices.empty(); });
    if (box.closed) {
        return {};
    }
    return std::exchange(box.notices, {});
}

auto engine_runner::forget(job_number job) -> void {
    auto const lock = std::scoped_lock{this->mutex};
    this->mailboxes.erase(job);
}

auto engine_runner::close_mailbox(job_number job) -> void {
    auto const found = this->mailboxes.find(job);
    if (found == this->mailboxes.end()) {
        return;
    }
    found->second->closed = true;
    found->second->changed.notify_one();
    this->mailboxes.erase(found);
}

auto engine_runner::handle_disconnect(job_number job) -> void {
    auto const lock = std::scoped_lock{this->mutex};
    if (this->cancels_to_ignore > 0) {
        --this->cancels_to_ignore;
        return;
    }
    this->disconnected.push_back(job);
    if (!this->frozen) {
        this->cancel_disconnected();
    }
}

auto engine_runner::cancel_disconnected() -> void {
    for (auto const job : std::exchange(this->disconnected, {})) {
        this->model.cancel(job, base::monotonic_clock::now());
        this->close_mailbox(job);
    }
    this->wake.notify_one();
}

auto engine_runner::abort(std::string const& request_id) -> abort_result {
    auto const lock = std::scoped_lock{this->mutex};
    auto ended = this->model.abort(request_id, base::monotonic_clock::now());
    for (auto const job : ended.jobs) {
        this->close_mailbox(job);
    }
    this->wake.notify_one();
    return ended;
}

auto engine_runner::end_all(bool discard_all_work) -> void {
    auto const lock = std::scoped_lock{this->mutex};
    auto const now = base::monotonic_clock::now();
    while (!this->mailboxes.empty()) {
        auto const job = this->mailboxes.begin()->first;
        this->model.cancel(job, now);
        this->close_mailbox(job);
    }
    if (discard_all_work) {
        this->model.drop_all(now);
    }
    this->wake.notify_one();
}

auto engine_runner::set_frozen(bool wanted) -> void {
    auto const lock = std::scoped_lock{this->mutex};
    this->frozen = wanted;
    if (!wanted) {
        this->cancel_disconnected();
    }
    this->wake.notify_one();
}

auto engine_runner::set_cancels_to_ignore(std::int64_t count) -> void {
    auto const lock = std::scoped_lock{this->mutex};
    this->cancels_to_ignore = count;
}

auto engine_runner::remaining_cancels_to_ignore() -> std::int64_t {
    auto const lock = std::scoped_lock{this->mutex};
    return this->cancels_to_ignore;
}

}  // namespace linnetlane::standin
