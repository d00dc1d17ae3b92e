// Measures the slopes of docs/slopes.toml that need no running hosts: the sizes of frames between
// hosts and of documents, and the processor time of the codec and of the document parser. Prints
// one `NAME VALUE` per line. Frame sizes include the length prefix but no TCP or IP headers.

#include <time.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "linnetlane/ctl/slopes.h"
#include "linnetlane/protocol/codec.h"
#include "linnetlane/service/parse.h"

namespace linnetlane::ctl {
namespace {

constexpr auto rounds = 15;
constexpr auto calls_per_round = 2'000;
constexpr auto parses_per_round = 5;
constexpr auto renewals_per_message = std::size_t{13};
// A prompt of 10,000 tokens in pieces of 2,000.
constexpr auto prefix_count = std::uint64_t{5};
constexpr auto bytes_per_kb = 1000.0;

auto const sender = base::host_id{"data-centre-3-host-41"};
auto const data_centre = base::data_centre_id{"data-centre-3"};
auto const holder = cell::holder{sender, base::incarnation{1'764'795'981}};

auto now() -> base::time_point {
    return base::monotonic_clock::now();
}

auto sample_attempt(std::uint64_t number) -> cell::attempt {
    return {{0x9E3779B97F4A7C15, 0xC2B2AE3D27D4EB4F + number}, base::attempt_number{1}};
}

auto make_envelope(protocol::body body) -> protocol::envelope {
    return {sender, data_centre, holder.incarnation, std::move(body)};
}

auto to_cell(protocol::cell_request question) -> protocol::envelope {
    return make_envelope(protocol::request_to_cell{{data_centre, base::service_id{"service-7"}, 17},
                                                   std::move(question)});
}

auto from_cell(protocol::cell_reply reply) -> protocol::envelope {
    return make_envelope(protocol::reply_from_cell{{data_centre, base::service_id{"service-7"}, 17},
                                                   std::move(reply)});
}

auto sample_acquire() -> cell::acquire {
    auto sample = cell::acquire{};
    sample.attempt = sample_attempt(0);
    sample.holder = holder;
    sample.caller = base::caller_id{"account-417"};
    sample.prompt = base::token_count{10'000};
    sample.output_bound = base::token_count{512};
    for (auto number = std::uint64_t{0}; number < prefix_count; ++number) {
        sample.prefixes.push_back(base::prefix_hash{0x8F3AC1D200000000 + number});
    }
    sample.first_token_deadline = now() + std::chrono::milliseconds{1800};
    return sample;
}

auto sample_grant() -> cell::grant {
    auto sample = cell::grant{};
    sample.attempt = sample_attempt(0);
    sample.holder = holder;
    sample.prefill = base::upstream_id{"service-7-dc-3-prefill-311"};
    sample.decode = base::upstream_id{"service-7-dc-3-decode-122"};
    sample.pieces = base::piece_count{6};
    sample.prefill_start = now();
    sample.deadline = now() + std::chrono::seconds{2};
    return sample;
}

auto sample_release() -> cell::release {
    auto sample = cell::release{};
    sample.attempt = sample_attempt(0);
    sample.holder = holder;
    sample.observation.prefill_took = std::chrono::milliseconds{700};
    sample.observation.transfer_took = std::chrono::milliseconds{150};
    sample.observation.decode_took = std::chrono::seconds{11};
    sample.observation.prefilled = base::token_count{10'000};
    sample.observation.produced = base::token_count{278};
    return sample;
}

auto renewal_with(std::size_t count) -> protocol::numbered_renew {
    auto sample = protocol::numbered_renew{protocol::renewal_round{123'456}, {holder, {}}};
    for (auto number = std::size_t{0}; number < count; ++number) {
        sample.renew.renewals.push_back(
            {sample_attempt(number), cell::phase::decoding, base::token_count{150}});
    }
    return sample;
}

auto sample_host() -> membership::host_record {
    auto sample = membership::host_record{};
    sample.host = sender;
    sample.data_centre = data_centre;
    sample.address = {"10.103.41.17", 7000};
    sample.incarnation = holder.incarnation;
    sample.revision = membership::revision{12'345};
    sample.ready = true;
    sample.documents_digest = 0x8F3AC1D2E4B59607;
    return sample;
}

auto ping_with(std::size_t changes) -> protocol::envelope {
    auto sample = membership::ping{};
    sample.probe = membership::probe_number{1'234'567};
    sample.sender = sample_host();
    sample.target = sender;
    sample.changes.assign(changes, sample_host());
    return make_envelope(membership::peer_message{std::move(sample)});
}

auto offer_with(std::size_t marks) -> protocol::envelope {
    auto sample = document::offer{};
    sample.version_ids.assign(marks, {base::service_id{"service-7"}, base::generation{54'321},
                                      "9e3779b97f4a7c15c2b2ae3d27d4eb4f"});
    return make_envelope(document::peer_message{std::move(sample)});
}

auto size_of(protocol::envelope const& message) -> double {
    return static_cast<double>(protocol::encode(message, now()).size() + protocol::length_bytes);
}

// Returns the processor time of the calling thread, in microseconds.
auto thread_cpu_time() -> double {
    constexpr auto per_second = 1e6;
    constexpr auto per_nanosecond = 1e-3;
    auto spent = timespec{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
    return static_cast<double>(spent.tv_sec) * per_second +
           static_cast<double>(spent.tv_nsec) * per_nanosecond;
}

// Returns the processor time of one call in microseconds: the median over all rounds, each of
// `calls` calls.
template <typename Call>
auto median_call_time(int calls, Call const& call) -> double {
    auto times = std::array<double, rounds>{};
    for (auto& time : times) {
        auto const start = thread_cpu_time();
        for (auto count = 0; count < calls; ++count) {
            call();
        }
        time = (thread_cpu_time() - start) / calls;
    }
    std::sort(times.begin(), times.end());
    return times[rounds / 2];
}

auto codec_time(protocol::envelope const& message) -> double {
    auto const at = now();
    auto const frame = protocol::encode(message, at);
    // Each message is encoded by one host and decoded by another, so a host pays for half of both.
    return median_call_time(calls_per_round,
                            [&] {
                                auto const bytes = protocol::encode(message, at);
                                auto const decoded = protocol::decode(frame, at);
                                if (bytes.size() != frame.size() || !base::succeeded(decoded)) {
                                    std::abort();
                                }
                            }) /
           2;
}

auto document_with(int upstreams, int callers) -> service::document {
    auto sample = service::document{};
    sample.id.value = "service-7";
    sample.kind = service::service_kind::model;
    sample.deployment.model = "trench-finding";
    for (auto number = 0; number < upstreams; ++number) {
        auto const decode = number % 3 == 0;
        sample.upstreams.push_back(
            {{fmt::format("service-7-dc-3-{}-{}", decode ? "decode" : "prefill", number)},
             data_centre,
             decode ? service::upstream_role::decode : service::upstream_role::prefill,
             {fmt::format("10.103.{}.{}", number / 250, number % 250 + 1), 8000}});
    }
    for (auto number = 0; number < callers; ++number) {
        sample.callers.push_back(
            {{fmt::format("account-{}", number)}, fmt::format("{:064x}", number + 1)});
    }
    return sample;
}

auto text_size(int upstreams, int callers) -> double {
    return static_cast<double>(service::format_document(document_with(upstreams, callers)).size());
}

auto parse_time_per_kb() -> double {
    auto const text = service::format_document(document_with(822, 560));
    auto const time = median_call_time(parses_per_round, [&text] {
        if (!base::succeeded(service::parse_document(text))) {
            std::abort();
        }
    });
    return time / (static_cast<double>(text.size()) / bytes_per_kb);
}

auto print(slope which, double value) -> void {
    std::cout << fmt::format("{} {:.1f}\n", name_of(which), value);
}

auto print_all() -> void {
    auto const empty_renewal = size_of(to_cell(renewal_with(0)));
    auto const full_renewal = size_of(to_cell(renewal_with(renewals_per_message)));
    auto const reply =
        size_of(from_cell(protocol::renewals_accepted{protocol::renewal_round{123}}));
    print(slope::acquire_bytes, size_of(to_cell(sample_acquire())));
    print(slope::grant_bytes, size_of(from_cell(sample_grant())));
    print(slope::release_bytes, size_of(to_cell(sample_release())));
    print(slope::renew_message_bytes, (empty_renewal + reply) / 2);
    print(slope::renewal_bytes,
          (full_renewal - empty_renewal) / static_cast<double>(renewals_per_message));
    print(slope::probe_bytes, size_of(ping_with(0)));
    print(slope::host_change_bytes, size_of(ping_with(1)) - size_of(ping_with(0)));
    print(slope::table_offer_bytes,
          size_of(make_envelope(membership::peer_message{
              membership::table_offer{sample_host(), data_centre, 0x8F3AC1D2E4B59607}})));
    print(slope::document_mark_bytes, size_of(offer_with(2)) - size_of(offer_with(1)));
    // The socket I/O in `peer_message_us` can only be measured with running hosts.
    std::cout << fmt::format("peer_message_us without sockets {:.1f}\n",
                             codec_time(to_cell(sample_acquire())));
    print(slope::document_us_per_kb, parse_time_per_kb());
    print(slope::document_base_text_bytes, text_size(0, 0));
    print(slope::upstream_text_bytes, (text_size(822, 0) - text_size(0, 0)) / 822);
    print(slope::caller_text_bytes, (text_size(0, 560) - text_size(0, 0)) / 560);
}

}  // namespace
}  // namespace linnetlane::ctl

auto main() -> int {
    linnetlane::ctl::print_all();
}
