#include "linnetlane/load/prefill_stats.h"

#include <nlohmann/json.hpp>

#include "linnetlane/base/time.h"
#include "linnetlane/runtime/http.h"

namespace linnetlane::load {

namespace {

using json = nlohmann::json;

constexpr auto patience = std::chrono::seconds{10};

auto add(prefill_figures& to, json const& figures) -> void {
    to.prefilled += figures.value("prefilled_tokens", std::int64_t{0});
    to.wasted += figures.value("wasted_tokens", std::int64_t{0});
    to.local_prefilled += figures.value("local_prefilled_tokens", std::int64_t{0});
    to.over_grant_waits += figures.value("over_grant_waits", std::int64_t{0});
}

}  // namespace

auto prefill_figures::wasted_share() const -> double {
    if (this->prefilled == 0) {
        return 0;
    }
    return static_cast<double>(this->wasted) / static_cast<double>(this->prefilled);
}

auto operator-(prefill_figures const& later, prefill_figures const& earlier) -> prefill_figures {
    return prefill_figures{later.prefilled - earlier.prefilled, later.wasted - earlier.wasted,
                           later.local_prefilled - earlier.local_prefilled,
                           later.over_grant_waits - earlier.over_grant_waits, later.silent};
}

auto read_prefill_figures(std::vector<base::endpoint> const& engines) -> prefill_figures {
    auto sums = prefill_figures{};
    auto request = runtime::http_request{};
    request.target = "/stats";
    for (auto const& engine : engines) {
        auto const deadline = base::monotonic_clock::now() + patience;
        auto const answer =
            runtime::fetch(engine, request, runtime::connection_use::fresh, deadline);
        auto const figures = base::succeeded(answer)
                                 ? json::parse(base::value_of(answer).body, nullptr, false)
                                 : json{};
        if (figures.is_object()) {
            add(sums, figures);
        } else {
            ++sums.silent;
        }
    }
    return sums;
}

}  // namespace linnetlane::load
