#include <chrono>
#include <limits>
#include <optional>
#include <utility>

#include "linnetlane/protocol/wire_access.h"

namespace linnetlane::protocol {

namespace {

// Limit on the time left in a frame, so that no frame can overflow a deadline.
constexpr auto max_time_left = std::chrono::hours{24 * 365};

// Reads the parts of a frame. A value that is out of range for its type invalidates the whole
// frame.
class reader {
public:
    explicit reader(base::time_point at) : now(at) {}

    [[nodiscard]] auto failed() const -> bool { return this->invalid; }

    auto content(wire::envelope const& frame) -> std::optional<body> {
        auto const& content = frame.content;
        auto const& set = content.__isset;
        if (auto found = this->membership_body(content, set)) {
            return body{std::move(*found)};
        }
        if (auto found = document_body(content, set)) {
            return body{std::move(*found)};
        }
        if (auto found = this->claim_body(content, set)) {
            return body{std::move(*found)};
        }
        if (set.leaving_marks_body) {
            return body{marks(content.leaving_marks_body)};
        }
        if (!frame.__isset.cell) {
            return std::nullopt;
        }
        auto const key = this->key_of(frame.cell);
        if (auto found = this->cell_request_body(content, set)) {
            return body{request_to_cell{key, std::move(*found)}};
        }
        if (auto found = this->cell_reply_body(content, set)) {
            return body{reply_from_cell{key, std::move(*found)}};
        }
        return std::nullopt;
    }

private:
    using set_flags = wire::_body__isset;

    // ---- Values ----

    template <typename Number>
    static auto number(std::int64_t value) -> Number {
        return Number{static_cast<std::uint64_t>(value)};
    }

    // An amount can't be negative.
    template <typename Amount>
    auto amount(std::int64_t value) -> Amount {
        if (value < 0) {
            this->invalid = true;
        }
        return Amount{value};
    }

    // Converts `code` to an enumeration whose last value is `last`.
    template <typename Enum>
    auto enumeration(std::int32_t code, Enum last) -> Enum {
        if (code < 0 || code > static_cast<std::int32_t>(last)) {
            this->invalid = true;
            return Enum{};
        }
        return static_cast<Enum>(code);
    }

    auto span(std::int64_t microseconds) -> base::duration {
        constexpr auto most = std::chrono::microseconds(max_time_left).count();
        if (microseconds < -most || microseconds > most) {
            this->invalid = true;
            return {};
        }
        return std::chrono::microseconds(microseconds);
    }

    auto deadline(std::int64_t left) -> base::time_point { return this->now + this->span(left); }

    static auto request(wire::request_key const& in) -> base::request_id {
        return {static_cast<std::uint64_t>(in.high), static_cast<std::uint64_t>(in.low)};
    }

    static auto attempt(wire::attempt const& in) -> cell::attempt {
        return {request(in.request), number<base::attempt_number>(in.number)};
    }

    auto key_of(wire::cell_key const& in) const -> cell_key {
        return {base::data_centre_id{in.data_centre}, base::service_id{in.service_name},
                static_cast<std::uint64_t>(in.number)};
    }

    static auto marks(wire::leaving_marks const& in) -> leaving_marks {
        auto out = leaving_marks{base::service_id{in.service_name}, {}};
        for (auto const& one : in.upstreams) {
            out.upstreams.push_back(base::upstream_id{one});
        }
        return out;
    }

    // ---- Membership ----

    auto record(wire::host_record const& in) -> membership::host_record {
        auto out = membership::host_record{};
        out.host.value = in.host;
        out.data_centre.value = in.data_centre;
        out.address.address = in.address.address;
        out.address.port = this->port(in.address.port);
        out.incarnation = number<base::incarnation>(in.incarnation);
        out.revision = number<membership::revision>(in.revision);
        out.liveness = this->enumeration(in.liveness, membership::liveness::gone);
        out.leaving = in.leaving;
        out.ready = in.ready;
        out.documents_digest = static_cast<std::uint64_t>(in.documents_digest);
        return out;
    }

    auto port(std::int32_t in) -> std::uint16_t {
        if (in < 0 || in > std::numeric_limits<std::uint16_t>::max()) {
            this->invalid = true;
            return 0;
        }
        return static_cast<std::uint16_t>(in);
    }

    auto records(std::vector<wire::host_record> const& in) -> std::vector<membership::host_record> {
        auto out = std::vector<membership::host_record>{};
        out.reserve(in.size());
        for (auto const& one : in) {
            out.push_back(this->record(one));
        }
        return out;
    }

    auto membership_body(wire::body const& in, set_flags const& set)
        -> std::optional<membership::peer_message> {
        using probe = membership::probe_number;
        if (set.ping_body) {
            auto const& one = in.ping_body;
            return membership::ping{number<probe>(one.probe), this->record(one.sender),
                                    base::host_id{one.target}, this->records(one.changes)};
        }
        if (set.ack_body) {
            auto const& one = in.ack_body;
            return membership::ack{
                number<probe>(one.probe), this->record(one.sender), base::host_id{one.subject},
                number<base::incarnation>(one.subject_incarnation), this->records(one.changes)};
        }
        if (set.indirect_ping_body) {
            auto const& one = in.indirect_ping_body;
            return membership::indirect_ping{number<probe>(one.probe), this->record(one.sender),
                                             base::host_id{one.target}};
        }
        if (set.gossip_body) {
            auto const& one = in.gossip_body;
            return membership::gossip{this->record(one.sender), this->records(one.changes)};
        }
        if (set.table_offer_body) {
            auto const& one = in.table_offer_body;
            return membership::table_offer{this->record(one.sender),
                                           base::data_centre_id{one.data_centre},
                                           static_cast<std::uint64_t>(one.table_digest)};
        }
        if (set.table_body) {
            auto const& one = in.table_body;
            return membership::table{this->record(one.sender),
                                     base::data_centre_id{one.data_centre},
                                     this->records(one.records), one.wants_answer};
        }
        return std::nullopt;
    }

    // ---- Service documents ----

    static auto offer(wire::document_offer const& in) -> document::offer {
        auto out = document::offer{{}, in.complete, in.all_known};
        for (auto const& one : in.marks) {
            out.version_ids.push_back({base::service_id{one.service_name},
                                       number<base::generation>(one.generation), one.write_id});
        }
        return out;
    }

    static auto want(wire::document_want const& in) -> document::version_request {
        auto out = document::version_request{};
        for (auto const& one : in.service_names) {
            out.services.push_back(base::service_id{one});
        }
        return out;
    }

    static auto push(wire::document_push const& in) -> document::push {
        auto out = document::push{};
        for (auto const& one : in.versions) {
            out.versions.push_back({base::service_id{one.service_name},
                                    number<base::generation>(one.generation), one.write_id,
                                    one.removed, one.text});
        }
        return out;
    }

    static auto document_body(wire::body const& in, set_flags const& set)
        -> std::optional<document::peer_message> {
        if (set.document_ask_body) {
            return document::offer_request{};
        }
        if (set.document_offer_body) {
            return offer(in.document_offer_body);
        }
        if (set.document_want_body) {
            return want(in.document_want_body);
        }
        if (set.document_push_body) {
            return push(in.document_push_body);
        }
        return std::nullopt;
    }

    // ---- Claims ----

    static auto answer(wire::stored_answer const& in) -> claim::stored_answer {
        return {in.status, in.content_type, in.body};
    }

    auto claim_body(wire::body const& in, set_flags const& set)
        -> std::optional<claim::peer_message> {
        if (set.claim_question_body) {
            return claim_question(in.claim_question_body);
        }
        if (set.settle_question_body) {
            return this->settle_question(in.settle_question_body);
        }
        if (set.claim_reply_body) {
            return this->claim_reply(in.claim_reply_body);
        }
        return std::nullopt;
    }

    static auto claimant(wire::claimant const& in) -> claim::claimant {
        return {base::host_id{in.host}, number<base::incarnation>(in.incarnation),
                number<claim::request_number>(in.number)};
    }

    static auto claim_question(wire::claim_question const& in) -> claim::claim_request {
        auto out = claim::claim_request{};
        out.claimant = claimant(in.claimant_key);
        out.service.value = in.service_name;
        out.key.value = in.key;
        out.keep_until = claim::wall_time{std::chrono::milliseconds(in.keep_until_unix_ms)};
        return out;
    }

    auto settle_question(wire::settle_question const& in) -> claim::settle_request {
        auto out = claim::settle_request{};
        out.claimant = claimant(in.claimant_key);
        out.service.value = in.service_name;
        out.key.value = in.key;
        out.state = this->enumeration(in.state, claim::claim_state::not_run);
        if (in.__isset.answer) {
            out.answer = answer(in.answer);
        }
        return out;
    }

    auto claim_reply(wire::claim_reply const& in) -> claim::claim_reply {
        auto out = claim::claim_reply{};
        out.number = number<claim::request_number>(in.number);
        out.to_settle = in.to_settle;
        out.verdict = this->enumeration(in.verdict, claim::verdict::not_claimant);
        out.state = this->enumeration(in.state, claim::claim_state::not_run);
        if (in.__isset.answer) {
            out.answer = answer(in.answer);
        }
        out.send_within = this->span(in.send_within_us);
        out.retry_after = this->span(in.retry_after_us);
        out.may_be_recorded = in.may_be_recorded;
        return out;
    }

    // ---- Cells ----

    auto acquire(wire::acquire const& in) -> cell::acquire {
        auto out = cell::acquire{};
        out.attempt = attempt(in.attempt_key);
        out.caller.value = in.caller;
        out.priority = this->enumeration(in.priority, base::priority_class::batch);
        out.prompt = this->amount<base::token_count>(in.prompt);
        out.output_bound = this->amount<base::token_count>(in.output_bound);
        for (auto const prefix : in.prefixes) {
            out.prefixes.push_back(number<base::prefix_hash>(prefix));
        }
        out.first_token_deadline = this->deadline(in.first_token_left_us);
        for (auto const& avoided : in.avoid) {
            out.avoid.push_back(base::upstream_id{avoided});
        }
        if (in.__isset.kept_by) {
            out.kept_by = base::upstream_id{in.kept_by};
            out.kept_until = this->deadline(in.kept_left_us);
        }
        return out;
    }

    auto renew(wire::renew const& in) -> numbered_renew {
        auto out = numbered_renew{number<renewal_round>(in.round), {}};
        for (auto const& one : in.renewals) {
            out.renew.renewals.push_back({attempt(one.attempt_key),
                                          this->enumeration(one.phase, cell::phase::decoding),
                                          this->amount<base::token_count>(one.produced)});
        }
        return out;
    }

    auto release(wire::release const& in) -> cell::release {
        auto out = cell::release{};
        out.attempt = attempt(in.attempt_key);
        out.ending = this->enumeration(in.ending, cell::ending::expired);
        out.engines_clear = in.engines_clear;
        if (in.__isset.prefill_took_us) {
            out.observation.prefill_took = this->span(in.prefill_took_us);
        }
        if (in.__isset.transfer_took_us) {
            out.observation.transfer_took = this->span(in.transfer_took_us);
        }
        if (in.__isset.decode_took_us) {
            out.observation.decode_took = this->span(in.decode_took_us);
        }
        out.observation.prefilled = this->amount<base::token_count>(in.prefilled);
        out.observation.produced = this->amount<base::token_count>(in.produced);
        return out;
    }

    auto held_grant(wire::held_grant const& in) -> cell::held_grant {
        auto out = cell::held_grant{};
        out.attempt = attempt(in.attempt_key);
        out.phase = this->enumeration(in.phase, cell::phase::decoding);
        if (in.__isset.prefill) {
            out.prefill = base::upstream_id{in.prefill};
        }
        out.decode.value = in.decode;
        out.pieces = this->amount<base::piece_count>(in.pieces);
        out.prompt = this->amount<base::token_count>(in.prompt);
        out.output_bound = this->amount<base::token_count>(in.output_bound);
        out.produced = this->amount<base::token_count>(in.produced);
        return out;
    }

    auto announce(wire::announce const& in) -> cell::announce {
        auto out = cell::announce{};
        for (auto const& one : in.grants) {
            out.grants.push_back(this->held_grant(one));
        }
        return out;
    }

    auto cell_request_body(wire::body const& in, set_flags const& set)
        -> std::optional<cell_request> {
        if (set.acquire_body) {
            return this->acquire(in.acquire_body);
        }
        if (set.renew_body) {
            return this->renew(in.renew_body);
        }
        if (set.release_body) {
            return this->release(in.release_body);
        }
        if (set.announce_body) {
            return this->announce(in.announce_body);
        }
        return std::nullopt;
    }

    auto grant(wire::grant const& in) -> cell::grant {
        auto out = cell::grant{};
        out.attempt = attempt(in.attempt_key);
        if (in.__isset.prefill) {
            out.prefill = base::upstream_id{in.prefill};
        }
        out.decode.value = in.decode;
        out.pieces = this->amount<base::piece_count>(in.pieces);
        out.prefill_start = this->deadline(in.prefill_start_left_us);
        out.ready = in.ready;
        out.deadline = this->deadline(in.deadline_left_us);
        return out;
    }

    auto refuse(wire::refuse const& in) -> cell::refuse {
        auto out = cell::refuse{};
        out.attempt = attempt(in.attempt_key);
        out.reason = this->enumeration(in.reason, cell::refusal::booking_failed);
        out.retry_at = this->deadline(in.retry_left_us);
        return out;
    }

    auto cell_reply_body(wire::body const& in, set_flags const& set) -> std::optional<cell_reply> {
        if (set.grant_body) {
            return this->grant(in.grant_body);
        }
        if (set.decode_ready_body) {
            auto const& one = in.decode_ready_body;
            return cell::decode_ready{attempt(one.attempt_key), {}, base::upstream_id{one.decode}};
        }
        if (set.refuse_body) {
            return this->refuse(in.refuse_body);
        }
        if (set.renewed_body) {
            return renewals_accepted{number<renewal_round>(in.renewed_body.round)};
        }
        if (set.not_keeper_body) {
            return not_keeper{};
        }
        return std::nullopt;
    }

    base::time_point now;
    bool invalid = false;
};

}  // namespace

auto from_wire(wire::envelope const& frame, base::time_point now)
    -> base::result<envelope, decode_failure> {
    if (frame.version != protocol_version) {
        return decode_failure::other_version;
    }
    auto in = reader{now};
    auto content = in.content(frame);
    if (!content) {
        return decode_failure::no_content;
    }
    if (in.failed()) {
        return decode_failure::out_of_range;
    }
    auto message = envelope{};
    message.host.value = frame.host;
    message.data_centre.value = frame.data_centre;
    message.incarnation.value = static_cast<std::uint64_t>(frame.incarnation);
    message.body = std::move(*content);
    return message;
}

}  // namespace linnetlane::protocol
