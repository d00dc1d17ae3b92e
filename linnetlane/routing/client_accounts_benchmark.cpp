// The cost of finding the account of a key, which includes hashing the key, by the number of keys.

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include "linnetlane/routing/client_accounts.h"

namespace linnetlane::routing {
namespace {

// A key of 40 characters.
auto key_of(std::size_t index) -> std::string {
    return fmt::format("sk-{:037}", index * 7919);
}

auto make_accounts(std::size_t count) -> client_accounts {
    auto listed = std::vector<client_account>{};
    for (auto index = std::size_t{0}; index < count; ++index) {
        auto account = client_account{};
        account.id.value = fmt::format("account{}", index);
        account.keys.push_back(base::digest_of_key(key_of(index)));
        listed.push_back(std::move(account));
    }
    return client_accounts{std::move(listed)};
}

auto find_account(benchmark::State& state, std::size_t first) -> void {
    constexpr auto keys_at_hand = std::size_t{4096};
    auto const count = static_cast<std::size_t>(state.range(0));
    auto const accounts = make_accounts(count);
    auto keys = std::vector<std::string>{};
    for (auto index = std::size_t{0}; index < keys_at_hand; ++index) {
        keys.push_back(key_of(first + index * 31 % count));
    }
    auto index = std::size_t{0};
    for (auto _ : state) {
        benchmark::DoNotOptimize(accounts.find(base::digest_of_key(keys[index++ % keys.size()])));
    }
}

auto known_key(benchmark::State& state) -> void {
    find_account(state, 0);
}

auto unknown_key(benchmark::State& state) -> void {
    find_account(state, 1'000'000);
}

auto only_hash_key(benchmark::State& state) -> void {
    auto const key = key_of(1);
    for (auto _ : state) {
        benchmark::DoNotOptimize(base::digest_of_key(key));
    }
}

BENCHMARK(known_key)->Arg(16)->Arg(560)->Arg(100'000);
BENCHMARK(unknown_key)->Arg(16)->Arg(560)->Arg(100'000);
BENCHMARK(only_hash_key);

}  // namespace
}  // namespace linnetlane::routing

BENCHMARK_MAIN();
