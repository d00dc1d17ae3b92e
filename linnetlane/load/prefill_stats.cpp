#include "linnetlane/load/prefill_stats.h"

#include <nlohmann/json.hpp>

#include "linnetlane/base/time.h"
#include "linnetlane/runtime/http.h"

namespace linnetlane::load {

namespace {

using json = nlohmann::json;

constexpr auto call_timeout = std::chrono::seconds{10};

auto add(prefill_stats& to, json const& stats) -> void {
    to.prefilled += stats.value("prefilled_tokens", std::int64_t{0});
    to.wasted += stats.value("wasted_tokens", std::int64_t{0});
    to.local_prefilled += stats.value("local_prefilled_tokens", std::int64_t{0});
    to.over_grant_waits += stats.value("over_grant_waits", std::int64_t{0});
}

}  // namespace

auto prefill_stats::wasted_share() const -> double {
    if (this->prefilled == 0) {
        return 0;
    }
    return static_cast<double>(this->wasted) / static_cast<double>(this->prefilled);
}

auto operator-(prefill_stats const& later, prefill_stats const& earlier) -> prefill_stats {
    return prefill_stats{later.prefilled - earlier.prefilled, later.wasted - earlier.wasted,
                         later.local_prefilled - earlier.local_prefilled,
                         later.over_grant_waits - earlier.over_grant_waits,
                         later.unresponsive_engines};
}

auto read_prefill_stats(std::vector<base::endpoint> const& engines) -> prefill_stats {
    auto sums = prefill_stats{};
    auto request = runtime::http_request{};
    request.target = "/stats";
    for (auto const& engine : engines) {
        auto const deadline = base::monotonic_clock::now() + call_timeout;
        auto const answer =
            runtime::fetch(engine, request, runtime::connection_use::fresh, deadline);
        auto const stats = base::succeeded(answer)
                               ? json::parse(base::value_of(answer).body, nullptr, false)
                               : json{};
        if (stats.is_object()) {
            add(sums, stats);
        } else {
            ++sums.unresponsive_engines;
        }
    }
    return sums;
}

}  // namespace linnetlane::load
