// Synthetic traffic in the style of a deployment: requests and their arrival times, generated from
// a seed.
//
//   auto plan = traffic_plan{traffic_shape::bluegum, request_rate{12}, 7};
//   auto const first = plan.next();

#ifndef LINNETLANE_LOAD_SHAPE_H_
#define LINNETLANE_LOAD_SHAPE_H_

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/priority.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"

namespace linnetlane::load {

enum class traffic_shape {
    // Long inspection documents with short findings, and short field calls; all interactive.
    bluegum,
    // Short interactive lookups, and long register extracts as batch requests.
    lanka,
    // Minimal requests, to measure the overhead of the request path.
    ping
};

[[nodiscard]] auto parse_shape(std::string_view text) -> std::optional<traffic_shape>;
[[nodiscard]] auto name_of(traffic_shape shape) -> std::string_view;

// A rate in requests per second.
struct request_rate {
    double per_second = 0;
};

// One request to send.
struct planned_request {
    std::uint64_t number = 0;
    // Arrival time relative to the start of the run.
    base::duration arrival{};
    base::caller_id caller;
    base::priority_class priority = base::priority_class::interactive;
    // Represents a prompt of `prompt_tokens` tokens, with `tokens_per_character` tokens per
    // character.
    std::string prompt;
    base::token_count prompt_tokens;
    // The length of the engines' answer, and the limit that the caller requests.
    base::token_count output_tokens;
    base::token_count output_bound;
};

// A prompt's text is shorter than its token count by this factor. The factor is constant, so that
// common prefixes remain common.
inline constexpr auto tokens_per_character = std::int64_t{10};

// Generates the requests of a shape in order of arrival, as a Poisson process. The same arguments
// produce the same requests. Thread-compatible.
class traffic_plan {
public:
    traffic_plan(traffic_shape wanted, request_rate rate, std::uint64_t seed);

    auto next() -> planned_request;

private:
    auto uniform(std::int64_t least, std::int64_t most) -> std::int64_t;
    // Log-uniform: each factor of two between the bounds is equally likely.
    auto log_uniform(std::int64_t least, std::int64_t most) -> std::int64_t;
    auto chance(double share) -> bool;
    auto fill_bluegum(planned_request& request) -> void;
    auto fill_lanka(planned_request& request) -> void;
    auto fill_ping(planned_request& request) -> void;
    auto write_prompt(planned_request& request) -> void;

    traffic_shape shape;
    std::mt19937_64 random;
    std::exponential_distribution<double> gap;
    base::duration last_arrival{};
    std::uint64_t next_number = 0;
};

}  // namespace linnetlane::load

#endif  // LINNETLANE_LOAD_SHAPE_H_
