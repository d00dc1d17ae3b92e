// Runs an engine model in real time: a fiber advances the model when work is due, and each job in
// progress has a mailbox for its notices.

#ifndef LINNETLANE_STANDIN_ENGINE_RUNNER_H_
#define LINNETLANE_STANDIN_ENGINE_RUNNER_H_

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <boost/fiber/condition_variable.hpp>

#include "linnetlane/base/result.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/standin/engine_model.h"

namespace linnetlane::standin {

// The pending notices of one job. Guarded by the runner's mutex.
struct mailbox {
    std::vector<engine_notice> notices;
    // Whether the job was aborted, cancelled or killed, so that no notices follow.
    bool closed = false;
    boost::fibers::condition_variable_any changed;
};

// Thread-safe. Its mutex is never held across a call that suspends.
class engine_runner : public std::enable_shared_from_this<engine_runner> {
public:
    explicit engine_runner(engine_settings const& settings);

    // Starts the fiber that advances the model.
    auto start(runtime::worker_pool& pool) -> void;

    struct submission {
        job_number job;
        std::shared_ptr<standin::mailbox> mailbox;
    };
    auto submit_prefill(prefill_request const& request) -> submission;
    auto submit_decode(decode_request const& request) -> base::result<submission, decode_refusal>;

    // Waits for notices. Returns none if the mailbox is closed.
    auto wait(mailbox& box) -> std::vector<engine_notice>;
    // Removes a job's mailbox. A job that has not ended continues.
    auto forget(job_number job) -> void;

    // Cancels a job whose client closed its connection, unless the cancel is to be ignored. While
    // the engine is frozen the cancel is deferred.
    auto handle_disconnect(job_number job) -> void;
    auto abort(std::string const& request_id) -> abort_result;
    // Cancels every job that has a mailbox. With `discard_all_work`, the model also discards jobs
    // without a mailbox and all kept prefill results.
    auto end_all(bool discard_all_work) -> void;

    // Calls `use` with the model and the current time, and returns its result.
    template <typename Use>
    auto with_model(Use use) {
        auto const lock = std::scoped_lock{this->mutex};
        this->wake.notify_one();
        return use(this->model, base::monotonic_clock::now());
    }

    auto set_frozen(bool frozen) -> void;
    // The next `count` disconnects cancel nothing.
    auto set_cancels_to_ignore(std::int64_t count) -> void;
    // The number of cancels still to be ignored.
    auto remaining_cancels_to_ignore() -> std::int64_t;

private:
    auto run() -> void;
    auto deliver(std::vector<engine_notice> const& notices) -> void;
    auto open_mailbox(job_number job) -> submission;
    auto close_mailbox(job_number job) -> void;
    auto cancel_disconnected() -> void;

    std::mutex mutex;
    engine_model model;
    std::map<job_number, std::shared_ptr<mailbox>> mailboxes;
    // Jobs whose clients disconnected while the engine was frozen.
    std::vector<job_number> disconnected;
    bool frozen = false;
    std::int64_t cancels_to_ignore = 0;
    boost::fibers::condition_variable_any wake;
};

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_ENGINE_RUNNER_H_
