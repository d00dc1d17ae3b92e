// Estimates the request rate of a shape that a pool of engines can sustain, from the engines'
// parameters.

#ifndef LINNETLANE_LOAD_CAPACITY_H_
#define LINNETLANE_LOAD_CAPACITY_H_

#include <cstdint>

#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/load/shape.h"

namespace linnetlane::load {

// A pool of identical engines; the defaults are those of the engine stand-in.
struct engine_pool {
    std::int64_t prefill_engines = 1;
    std::int64_t decode_engines = 1;
    base::token_rate prefill_rate{20'000};
    base::token_count piece_size{2000};
    base::piece_count pieces{60};
    std::int64_t slots = 20;
    // A decode step takes `base_interval` plus `interval_per_running` for each running request.
    base::duration base_interval = std::chrono::milliseconds{20};
    base::duration interval_per_running = std::chrono::microseconds{600};
};

// The request rates that the prefill and the decode engines can sustain.
struct capacity {
    request_rate prefill;
    request_rate decode;

    // The lower of the two rates.
    [[nodiscard]] auto requests() const -> request_rate;
};

// Computes the capacity from a sample of the shape's requests. Prefill is limited by prompt tokens,
// with an empty prefix cache. Decode is limited by slots and by memory, as piece-seconds of prompt
// and output bound, with full batches.
[[nodiscard]] auto capacity_of(engine_pool const& pool, traffic_shape shape) -> capacity;

}  // namespace linnetlane::load

#endif  // LINNETLANE_LOAD_CAPACITY_H_
