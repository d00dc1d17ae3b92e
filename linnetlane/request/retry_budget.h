// Limits the retries of a service to a share of the requests that it accepted.
//
// A token bucket that is filled by accepted requests rather than by time: each accepted request
// adds `share` of a retry, and each retry takes one. Retries therefore never exceed that share of
// the load, whatever fails. The bucket starts full, so that a service with little traffic can
// retry, and a busy one can retry all requests of a failed engine.
//
// Hedging (a second send before the first one failed) is not implemented: both tries would hold
// decode memory, the scarcest resource. It would take from this budget as well.

#ifndef LINNETLANE_REQUEST_RETRY_BUDGET_H_
#define LINNETLANE_REQUEST_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

#include "linnetlane/base/units.h"

namespace linnetlane::request {

// Thread-safe.
class retry_budget {
public:
    // Capacity of the bucket.
    static constexpr auto max_retries = std::int64_t{100};

    // Adds `share` of a retry for an accepted request.
    auto record_accepted(base::fraction share) -> void;
    // Takes one retry. Returns false, and takes nothing, if none is available.
    [[nodiscard]] auto try_take() -> bool;
    // Returns the whole retries that can be taken now.
    [[nodiscard]] auto available() const -> std::int64_t;

private:
    static constexpr auto micros_per_retry = std::int64_t{1'000'000};

    std::atomic<std::int64_t> micros = max_retries * micros_per_retry;
};

}  // namespace linnetlane::request

#endif  // LINNETLANE_REQUEST_RETRY_BUDGET_H_
