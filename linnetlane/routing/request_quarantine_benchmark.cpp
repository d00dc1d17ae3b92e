// The cost of what a quarantine does for each answered request, by the number of requests that were
// answered before it.

#include <cstddef>
#include <string>
#include <vector>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "linnetlane/routing/request_quarantine.h"

namespace linnetlane::routing {
namespace {

constexpr auto parts_per_prompt = std::size_t{5};
constexpr auto requests_at_hand = std::size_t{4096};

auto const start = base::time_point{} + std::chrono::hours{1};

// Requests of one service. Each has a part of its own beside those that all share.
auto make_requests(std::size_t count, std::string const& prefix) -> std::vector<request_subjects> {
    auto requests = std::vector<request_subjects>{};
    for (auto index = std::size_t{0}; index < count; ++index) {
        auto parts = std::vector<base::prompt_part_id>{};
        for (auto part = std::size_t{1}; part < parts_per_prompt; ++part) {
            parts.push_back({fmt::format("shared{}", part)});
        }
        parts.push_back({fmt::format("{}{}", prefix, index)});
        requests.push_back(subjects_of({"llm"}, parts, {fmt::format("{}{:026}", prefix, index)}));
    }
    return requests;
}

auto answer(request_quarantine& quarantine, request_subjects const& one, base::time_point now)
    -> void {
    benchmark::DoNotOptimize(quarantine.find(one, now));
    benchmark::DoNotOptimize(quarantine.answered(one.parts, now));
    benchmark::DoNotOptimize(quarantine.answered({one.whole}, now));
}

auto answered_request(benchmark::State& state) -> void {
    auto quarantine = request_quarantine{};
    auto now = start;
    for (auto const& one : make_requests(static_cast<std::size_t>(state.range(0)), "old")) {
        answer(quarantine, one, now += std::chrono::microseconds{500});
    }
    auto const requests = make_requests(requests_at_hand, "new");
    auto index = std::size_t{0};
    for (auto _ : state) {
        answer(quarantine, requests[index++ % requests.size()],
               now += std::chrono::microseconds{500});
    }
}

BENCHMARK(answered_request)->Arg(0)->Arg(4096)->Arg(100'000);

}  // namespace
}  // namespace linnetlane::routing

BENCHMARK_MAIN();
