// The cost of membership and document exchange per host, by number of hosts, on a fake network.
//
// One iteration simulates ten seconds of a data centre in steady state. Its run time divided by
// hosts and simulated seconds is the share of a core that one host's decisions take, without codec
// and sockets. Bytes are those of a compact encoding: one byte for a field's type, strings with a
// byte of length, numbers as varints.

#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <numeric>
#include <string>
#include <variant>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/document/fake_hosts.h"
#include "linnetlane/membership/fake_fleet.h"

namespace linnetlane::membership {
namespace {

using namespace std::chrono_literals;

constexpr auto iteration_span = base::duration{10s};
// The header of a frame: length, version and the message's kind.
constexpr auto frame_bytes = std::size_t{8};

auto varint_bytes(std::uint64_t value) -> std::size_t {
    constexpr auto bits_per_byte = 7;
    auto bytes = std::size_t{2};
    for (; value >> bits_per_byte != 0; value >>= bits_per_byte) {
        ++bytes;
    }
    return bytes;
}

auto string_bytes(std::string const& text) -> std::size_t {
    return text.size() + 2;
}

auto record_bytes(host_record const& record) -> std::size_t {
    // An address is at most four numbers of three digits with dots.
    constexpr auto address_bytes = std::size_t{17};
    constexpr auto flags_bytes = std::size_t{4};
    // In production, incarnations are milliseconds since 1970.
    constexpr auto incarnation = std::uint64_t{1} << 41U;
    return string_bytes(record.host.value) + string_bytes(record.data_centre.value) +
           address_bytes + varint_bytes(incarnation) + varint_bytes(record.revision.value) +
           flags_bytes + sizeof(record.documents_digest) + 1;
}

auto records_bytes(std::vector<host_record> const& records) -> std::size_t {
    return std::accumulate(
        records.begin(), records.end(), std::size_t{2},
        [](std::size_t sum, host_record const& each) { return sum + record_bytes(each); });
}

auto message_bytes(peer_message const& message) -> std::size_t {
    constexpr auto number_bytes = std::size_t{6};
    return std::visit(
        base::overloaded{
            [](ping const& each) {
                return number_bytes + record_bytes(each.sender) + string_bytes(each.target.value) +
                       records_bytes(each.changes);
            },
            [](ack const& each) {
                return (3 * number_bytes) + record_bytes(each.sender) +
                       string_bytes(each.subject.value) + records_bytes(each.changes);
            },
            [](indirect_ping const& each) {
                return number_bytes + record_bytes(each.sender) + string_bytes(each.target.value);
            },
            [](gossip const& each) {
                return record_bytes(each.sender) + records_bytes(each.changes);
            },
            [](table_offer const& each) {
                return record_bytes(each.sender) + string_bytes(each.data_centre.value) +
                       sizeof(each.table_digest) + 1;
            },
            [](table const& each) {
                return record_bytes(each.sender) + records_bytes(each.records);
            },
        },
        message);
}

// A data centre without changes.
auto settled_members(benchmark::State& state) -> void {
    auto const hosts = static_cast<std::size_t>(state.range(0));
    auto fleet = fake_fleet{1};
    auto bytes = std::size_t{0};
    fleet.on_send = [&](send const& sent) { bytes += frame_bytes + message_bytes(sent.message); };
    fleet.start("bne-north", hosts);
    fleet.time.run_for(20s);
    bytes = 0;
    fleet.messages = 0;
    for (auto _ : state) {
        fleet.time.run_for(iteration_span);
    }
    auto const host_seconds = static_cast<double>(state.iterations()) * static_cast<double>(hosts) *
                              base::to_seconds(iteration_span);
    state.counters["messages/host/s"] = static_cast<double>(fleet.messages) / host_seconds;
    state.counters["bytes/host/s"] = static_cast<double>(bytes) / host_seconds;
    state.counters["core_share_of_host"] =
        benchmark::Counter(host_seconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

// A data centre in which one host is killed and replaced in each ten seconds.
auto members_with_replacements(benchmark::State& state) -> void {
    auto const hosts = static_cast<std::size_t>(state.range(0));
    auto fleet = fake_fleet{1};
    auto bytes = std::size_t{0};
    fleet.on_send = [&](send const& sent) { bytes += frame_bytes + message_bytes(sent.message); };
    fleet.start("bne-north", hosts);
    fleet.time.run_for(20s);
    bytes = 0;
    fleet.messages = 0;
    auto incarnation = std::uint64_t{1};
    auto const all_hosts = fleet.all_hosts();
    for (auto _ : state) {
        auto const& victim = all_hosts[incarnation % all_hosts.size()];
        fleet.kill(victim);
        fleet.time.run_for(iteration_span / 2);
        fleet.replace(victim, ++incarnation + 1);
        fleet.time.run_for(iteration_span / 2);
    }
    auto const host_seconds = static_cast<double>(state.iterations()) * static_cast<double>(hosts) *
                              base::to_seconds(iteration_span);
    state.counters["messages/host/s"] = static_cast<double>(fleet.messages) / host_seconds;
    state.counters["bytes/host/s"] = static_cast<double>(bytes) / host_seconds;
    state.counters["core_share_of_host"] =
        benchmark::Counter(host_seconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

// Document exchange for nine services, with one document changed in each ten seconds.
auto document_changes(benchmark::State& state) -> void {
    constexpr auto services = std::uint64_t{9};
    auto const hosts = static_cast<std::size_t>(state.range(0));
    auto fakes = document::fake_hosts{1, hosts};
    fakes.time.run_for(2s);
    for (auto service = std::uint64_t{0}; service < services; ++service) {
        fakes.apply_at(0, std::to_string(service), {}, "text");
        fakes.time.run_for(2s);
    }
    fakes.messages = 0;
    fakes.texts_pushed = 0;
    fakes.calls = 0;
    auto change = std::uint64_t{0};
    for (auto _ : state) {
        auto const service = std::to_string(change % services);
        fakes.apply_at(change % hosts, service, {(change / services) + 1}, "text");
        ++change;
        fakes.time.run_for(iteration_span);
    }
    auto const seconds = static_cast<double>(state.iterations()) * base::to_seconds(iteration_span);
    auto const host_seconds = seconds * static_cast<double>(hosts);
    state.counters["messages/host/s"] = static_cast<double>(fakes.messages) / host_seconds;
    state.counters["texts/host/change"] = static_cast<double>(fakes.texts_pushed) /
                                          static_cast<double>(state.iterations()) /
                                          static_cast<double>(hosts);
    state.counters["platform_calls/s"] = static_cast<double>(fakes.calls) / seconds;
    state.counters["core_share_of_host"] =
        benchmark::Counter(host_seconds, benchmark::Counter::kIsRate | benchmark::Counter::kInvert);
}

// The memory of a host table per known host.
auto table_memory(benchmark::State& state) -> void {
    auto const hosts = static_cast<std::size_t>(state.range(0));
    auto bytes = std::size_t{0};
    for (auto _ : state) {
        auto const before = mallinfo2().uordblks;
        auto table = host_table{};
        for (auto number = std::size_t{0}; number < hosts; ++number) {
            auto const name = "bne-north-entry-" + std::to_string(number);
            table.merge({{name}, {"bne-north"}, {"10.120.130.140", 7000}, {1}, {}, {}, {}, {}, {}},
                        {});
        }
        benchmark::DoNotOptimize(table);
        bytes = mallinfo2().uordblks - before;
    }
    state.counters["bytes/known_host"] = static_cast<double>(bytes) / static_cast<double>(hosts);
}

auto sizes(benchmark::internal::Benchmark* run) -> void {
    for (auto const hosts : {3, 9, 27, 51, 120}) {
        run->Arg(hosts);
    }
    run->Unit(benchmark::kMillisecond);
}

BENCHMARK(settled_members)->Apply(sizes);
BENCHMARK(members_with_replacements)->Apply(sizes);
BENCHMARK(document_changes)->Apply(sizes);
BENCHMARK(table_memory)->Apply(sizes)->Arg(360);

}  // namespace
}  // namespace linnetlane::membership

BENCHMARK_MAIN();
