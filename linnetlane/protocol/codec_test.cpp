#include "linnetlane/protocol/codec.h"

#include <chrono>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

namespace linnetlane::protocol {
namespace {

using namespace std::chrono_literals;

auto const sent_at = base::time_point{1000s};
auto const received_at = base::time_point{5000s};

auto sample_record() -> membership::host_record {
    auto record = membership::host_record{};
    record.host.value = "bne-north-1";
    record.data_centre.value = "bne-north";
    record.address = {"127.0.0.1", 7000};
    record.incarnation.value = 12;
    record.liveness = membership::liveness::suspected;
    record.ready = true;
    record.documents_digest = 0xFFFFFFFFFFFFFFFFULL;
    return record;
}

auto sample_attempt() -> cell::attempt {
    return {{1, 0xF000000000000001ULL}, {3}};
}

// One message of each type.
auto samples() -> std::vector<body> {
    auto const cell = cell_key{{"bne-north"}, {"finding"}, 2};
    auto acquire = cell::acquire{};
    acquire.attempt = sample_attempt();
    acquire.prefixes = {{7}, {8}};
    acquire.first_token_deadline = sent_at + 1800ms;
    acquire.kept_by = base::upstream_id{"prefill-1"};
    acquire.kept_until = sent_at + 800ms;
    auto renew = numbered_renew{{9}, {{}, {{sample_attempt(), cell::phase::decoding, {17}}}}};
    auto release = cell::release{};
    release.attempt = sample_attempt();
    release.ending = cell::ending::transfer_stalled;
    release.observation.prefill_took = 120ms;
    auto held = cell::held_grant{};
    held.attempt = sample_attempt();
    held.prefill = base::upstream_id{"prefill-1"};
    held.pieces.value = 4;
    auto grant = cell::grant{};
    grant.attempt = sample_attempt();
    grant.decode.value = "decode-1";
    grant.prefill_start = sent_at + 5ms;
    grant.deadline = sent_at + 2s;
    auto settle = claim::settle_request{};
    settle.state = claim::claim_state::answered;
    settle.answer = claim::stored_answer{201, "text/plain", "done"};
    settle.claimant = {{"bne-north-1"}, {12}, {3}};
    auto question = claim::claim_request{};
    question.claimant = settle.claimant;
    question.key.value = "key";
    question.keep_until = claim::wall_time{1234567ms};
    auto reply = claim::claim_reply{};
    reply.number.value = 3;
    reply.to_settle = true;
    reply.verdict = claim::verdict::not_claimant;
    reply.send_within = 30s;
    reply.retry_after = 2s;
    reply.may_be_recorded = true;
    auto const version = document::version{{"finding"}, {4}, "w1", false, "kind = \"plain\""};
    return {
        membership::peer_message{membership::ping{{1}, sample_record(), {"b"}, {sample_record()}}},
        membership::peer_message{membership::ack{{1}, sample_record(), {"b"}, {2}, {}}},
        membership::peer_message{membership::indirect_ping{{1}, sample_record(), {"c"}}},
        membership::peer_message{membership::gossip{sample_record(), {sample_record()}}},
        membership::peer_message{membership::table_offer{sample_record(), {"gampaha"}, 77}},
        membership::peer_message{membership::table{sample_record(), {"gampaha"}, {}, true}},
        document::peer_message{document::offer_request{}},
        document::peer_message{document::offer{{{{"finding"}, {4}, "w1"}}, true, true}},
        document::peer_message{document::version_request{{{"finding"}}}},
        document::peer_message{document::push{{version}}},
        claim::peer_message{question},
        claim::peer_message{settle},
        claim::peer_message{reply},
        request_to_cell{cell, acquire},
        request_to_cell{cell, renew},
        request_to_cell{cell, release},
        request_to_cell{cell, cell::announce{{}, {held}}},
        reply_from_cell{cell, grant},
        reply_from_cell{cell, cell::decode_ready{sample_attempt(), {}, {"decode-2"}}},
        reply_from_cell{cell,
                        cell::refuse{sample_attempt(), {}, cell::refusal::too_large, sent_at}},
        reply_from_cell{cell, renewals_accepted{{9}}},
        reply_from_cell{cell, not_keeper{}},
        leaving_marks{{"jobs"}, {{"jobs-1"}, {"jobs-2"}}},
    };
}

auto envelope_of(body content) -> envelope {
    return {{"bne-north-1"}, {"bne-north"}, {12}, std::move(content)};
}

BOOST_AUTO_TEST_CASE(every_message_round_trips_through_its_frame) {
    for (auto const& content : samples()) {
        auto const frame = encode(envelope_of(content), sent_at);
        auto const decoded = decode(frame, sent_at);
        BOOST_REQUIRE(base::succeeded(decoded));
        auto const& message = base::value_of(decoded);
        BOOST_TEST(message.body.index() == content.index());
        BOOST_TEST(message.host == base::host_id{"bne-north-1"});
        BOOST_TEST(message.incarnation == base::incarnation{12});
        BOOST_TEST(encode(message, sent_at) == frame);
    }
}

BOOST_AUTO_TEST_CASE(a_deadline_is_counted_from_the_time_of_arrival) {
    auto grant = cell::grant{};
    grant.deadline = sent_at + 2s;
    grant.prefill_start = sent_at - 1ms;
    auto const frame = encode(envelope_of(reply_from_cell{{}, grant}), sent_at);
    auto const decoded = decode(frame, received_at);
    BOOST_REQUIRE(base::succeeded(decoded));
    auto const& reply = std::get<reply_from_cell>(base::value_of(decoded).body).reply;
    BOOST_TEST((std::get<cell::grant>(reply).deadline == received_at + 2s));
    BOOST_TEST((std::get<cell::grant>(reply).prefill_start == received_at - 1ms));
}

BOOST_AUTO_TEST_CASE(a_truncated_frame_is_a_typed_failure) {
    for (auto const& content : samples()) {
        auto const frame = encode(envelope_of(content), sent_at);
        for (auto length = std::size_t{0}; length < frame.size(); ++length) {
            auto const decoded = decode(std::string_view(frame).substr(0, length), sent_at);
            BOOST_TEST(!base::succeeded(decoded));
        }
    }
}

BOOST_AUTO_TEST_CASE(an_enumeration_out_of_range_is_refused) {
    auto refuse = cell::refuse{};
    refuse.reason = static_cast<cell::refusal>(99);
    auto const frame = encode(envelope_of(reply_from_cell{{}, refuse}), sent_at);
    auto const decoded = decode(frame, sent_at);
    BOOST_REQUIRE(!base::succeeded(decoded));
    BOOST_TEST((*base::failure_of(decoded) == decode_failure::out_of_range));
}

RC_BOOST_PROP(arbitrary_bytes_never_crash_the_decoder, (std::string const& bytes)) {
    static_cast<void>(decode(bytes, sent_at));
}

RC_BOOST_PROP(a_changed_byte_never_crashes_the_decoder, (std::uint8_t byte, std::uint16_t where)) {
    for (auto const& content : samples()) {
        auto frame = encode(envelope_of(content), sent_at);
        frame[where % frame.size()] = static_cast<char>(byte);
        static_cast<void>(decode(frame, sent_at));
    }
}

RC_BOOST_PROP(a_length_round_trips_through_its_bytes, (std::uint32_t length)) {
    auto const bytes = std::size_t{length};
    auto const expected =
        bytes <= max_frame_bytes ? std::optional<std::size_t>{bytes} : std::nullopt;
    RC_ASSERT(decode_length(encode_length(bytes)) == expected);
}

}  // namespace
}  // namespace linnetlane::protocol
