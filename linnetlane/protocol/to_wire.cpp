#include <chrono>
#include <utility>

#include "linnetlane/protocol/compact_bytes.h"
#include "linnetlane/protocol/wire_access.h"

namespace linnetlane::protocol {

namespace {

// Fills a frame. Holds the time relative to which deadlines are sent.
class writer {
public:
    explicit writer(base::time_point at) : now(at) {}

    // ---- Values ----

    template <typename Tag>
    static auto number(base::basic_number<Tag> value) -> std::int64_t {
        return static_cast<std::int64_t>(value.value);
    }

    template <typename Enum>
    static auto code(Enum value) -> std::int32_t {
        return static_cast<std::int32_t>(value);
    }

    [[nodiscard]] auto left_until(base::time_point deadline) const -> std::int64_t {
        return microseconds_of(deadline - this->now);
    }

    static auto request_key(base::request_id const& id) -> wire::request_key {
        auto out = wire::request_key{};
        out.__set_high(static_cast<std::int64_t>(id.high));
        out.__set_low(static_cast<std::int64_t>(id.low));
        return out;
    }

    static auto attempt(cell::attempt const& in) -> wire::attempt {
        auto out = wire::attempt{};
        out.__set_request(request_key(in.request));
        out.__set_number(number(in.number));
        return out;
    }

    // ---- Membership ----

    static auto record(membership::host_record const& in) -> wire::host_record {
        auto address = wire::endpoint{};
        address.__set_address(in.address.address);
        address.__set_port(in.address.port);
        auto out = wire::host_record{};
        out.__set_host(in.host.value);
        out.__set_data_centre(in.data_centre.value);
        out.__set_address(address);
        out.__set_incarnation(number(in.incarnation));
        out.__set_revision(number(in.revision));
        out.__set_liveness(code(in.liveness));
        out.__set_leaving(in.leaving);
        out.__set_ready(in.ready);
        out.__set_documents_digest(static_cast<std::int64_t>(in.documents_digest));
        return out;
    }

    static auto records(std::vector<membership::host_record> const& in)
        -> std::vector<wire::host_record> {
        auto out = std::vector<wire::host_record>{};
        out.reserve(in.size());
        for (auto const& one : in) {
            out.push_back(record(one));
        }
        return out;
    }

    static auto fill(wire::body& content, membership::ping const& in) -> void {
        auto out = wire::ping{};
        out.__set_probe(number(in.probe));
        out.__set_sender(record(in.sender));
        out.__set_target(in.target.value);
        out.__set_changes(records(in.changes));
        content.__set_ping_body(out);
    }

    static auto fill(wire::body& content, membership::ack const& in) -> void {
        auto out = wire::ack{};
        out.__set_probe(number(in.probe));
        out.__set_sender(record(in.sender));
        out.__set_subject(in.subject.value);
        out.__set_subject_incarnation(number(in.subject_incarnation));
        out.__set_changes(records(in.changes));
        content.__set_ack_body(out);
    }

    static auto fill(wire::body& content, membership::indirect_ping const& in) -> void {
        auto out = wire::indirect_ping{};
        out.__set_probe(number(in.probe));
        out.__set_sender(record(in.sender));
        out.__set_target(in.target.value);
        content.__set_indirect_ping_body(out);
    }

    static auto fill(wire::body& content, membership::gossip const& in) -> void {
        auto out = wire::gossip{};
        out.__set_sender(record(in.sender));
        out.__set_changes(records(in.changes));
        content.__set_gossip_body(out);
    }

    static auto fill(wire::body& content, membership::table_offer const& in) -> void {
        auto out = wire::table_offer{};
        out.__set_sender(record(in.sender));
        out.__set_data_centre(in.data_centre.value);
        out.__set_table_digest(static_cast<std::int64_t>(in.table_digest));
        content.__set_table_offer_body(out);
    }

    static auto fill(wire::body& content, membership::table const& in) -> void {
        auto out = wire::table{};
        out.__set_sender(record(in.sender));
        out.__set_data_centre(in.data_centre.value);
        out.__set_records(records(in.records));
        out.__set_wants_answer(in.wants_answer);
        content.__set_table_body(out);
    }

    // ---- Service documents ----

    static auto fill(wire::body& content, document::offer_request const& /*in*/) -> void {
        content.__set_document_ask_body(wire::document_ask{});
    }

    static auto fill(wire::body& content, document::offer const& in) -> void {
        auto out = wire::document_offer{};
        for (auto const& one : in.version_ids) {
            auto mark = wire::document_mark{};
            mark.__set_service_name(one.service.value);
            mark.__set_generation(number(one.generation));
            mark.__set_write_id(one.write_id);
            out.marks.push_back(std::move(mark));
        }
        out.__set_complete(in.complete);
        out.__set_all_known(in.all_known);
        content.__set_document_offer_body(out);
    }

    static auto fill(wire::body& content, document::version_request const& in) -> void {
        auto out = wire::document_want{};
        for (auto const& one : in.services) {
            out.service_names.push_back(one.value);
        }
        content.__set_document_want_body(out);
    }

    static auto fill(wire::body& content, document::push const& in) -> void {
        auto out = wire::document_push{};
        for (auto const& one : in.versions) {
            auto version = wire::document_version{};
            version.__set_service_name(one.service.value);
            version.__set_generation(number(one.generation));
            version.__set_write_id(one.write_id);
            version.__set_removed(one.removed);
            version.__set_text(one.text);
            out.versions.push_back(std::move(version));
        }
        content.__set_document_push_body(out);
    }

    // ---- Claims ----

    static auto answer(claim::stored_answer const& in) -> wire::stored_answer {
        auto out = wire::stored_answer{};
        out.__set_status(in.status);
        out.__set_content_type(in.content_type);
        out.__set_body(in.body);
        return out;
    }

    static auto claimant(claim::claimant const& in) -> wire::claimant {
        auto out = wire::claimant{};
        out.__set_host(in.host.value);
        out.__set_incarnation(number(in.incarnation));
        out.__set_number(number(in.number));
        return out;
    }

    static auto fill(wire::body& content, claim::claim_request const& in) -> void {
        auto out = wire::claim_question{};
        out.__set_claimant_key(claimant(in.claimant));
        out.__set_service_name(in.service.value);
        out.__set_key(in.key.value);
        out.__set_keep_until_unix_ms(in.keep_until.time_since_epoch().count());
        content.__set_claim_question_body(out);
    }

    static auto fill(wire::body& content, claim::settle_request const& in) -> void {
        auto out = wire::settle_question{};
        out.__set_claimant_key(claimant(in.claimant));
        out.__set_service_name(in.service.value);
        out.__set_key(in.key.value);
        out.__set_state(code(in.state));
        if (in.answer) {
            out.__set_answer(answer(*in.answer));
        }
        content.__set_settle_question_body(out);
    }

    static auto fill(wire::body& content, claim::claim_reply const& in) -> void {
        auto out = wire::claim_reply{};
        out.__set_number(number(in.number));
        out.__set_to_settle(in.to_settle);
        out.__set_verdict(code(in.verdict));
        out.__set_state(code(in.state));
        if (in.answer) {
            out.__set_answer(answer(*in.answer));
        }
        out.__set_send_within_us(microseconds_of(in.send_within));
        out.__set_retry_after_us(microseconds_of(in.retry_after));
        out.__set_may_be_recorded(in.may_be_recorded);
        content.__set_claim_reply_body(out);
    }

    // ---- Cells ----

    auto fill(wire::body& content, cell::acquire const& in) const -> void {
        auto out = wire::acquire{};
        out.__set_attempt_key(attempt(in.attempt));
        out.__set_caller(in.caller.value);
        out.__set_priority(code(in.priority));
        out.__set_prompt(in.prompt.value);
        out.__set_output_bound(in.output_bound.value);
        for (auto const& prefix : in.prefixes) {
            out.prefixes.push_back(number(prefix));
        }
        out.__set_first_token_left_us(this->left_until(in.first_token_deadline));
        for (auto const& avoided : in.avoid) {
            out.avoid.push_back(avoided.value);
        }
        if (in.kept_by) {
            out.__set_kept_by(in.kept_by->value);
            out.__set_kept_left_us(this->left_until(in.kept_until));
        }
        content.__set_acquire_body(out);
    }

    static auto fill(wire::body& content, numbered_renew const& in) -> void {
        auto out = wire::renew{};
        out.__set_round(number(in.round));
        for (auto const& one : in.renew.renewals) {
            auto renewal = wire::renewal{};
            renewal.__set_attempt_key(attempt(one.attempt));
            renewal.__set_phase(code(one.phase));
            renewal.__set_produced(one.produced.value);
            out.renewals.push_back(std::move(renewal));
        }
        content.__set_renew_body(out);
    }

    static auto fill(wire::body& content, cell::release const& in) -> void {
        auto out = wire::release{};
        out.__set_attempt_key(attempt(in.attempt));
        out.__set_ending(code(in.ending));
        out.__set_engines_clear(in.engines_clear);
        if (in.observation.prefill_took) {
            out.__set_prefill_took_us(microseconds_of(*in.observation.prefill_took));
        }
        if (in.observation.transfer_took) {
            out.__set_transfer_took_us(microseconds_of(*in.observation.transfer_took));
        }
        if (in.observation.decode_took) {
            out.__set_decode_took_us(microseconds_of(*in.observation.decode_took));
        }
        out.__set_prefilled(in.observation.prefilled.value);
        out.__set_produced(in.observation.produced.value);
        content.__set_release_body(out);
    }

    static auto fill(wire::body& content, cell::announce const& in) -> void {
        auto out = wire::announce{};
        for (auto const& one : in.grants) {
            auto held = wire::held_grant{};
            held.__set_attempt_key(attempt(one.attempt));
            held.__set_phase(code(one.phase));
            if (one.prefill) {
                held.__set_prefill(one.prefill->value);
            }
            held.__set_decode(one.decode.value);
            held.__set_pieces(one.pieces.value);
            held.__set_prompt(one.prompt.value);
            held.__set_output_bound(one.output_bound.value);
            held.__set_produced(one.produced.value);
            out.grants.push_back(std::move(held));
        }
        content.__set_announce_body(out);
    }

    auto fill(wire::body& content, cell::grant const& in) const -> void {
        auto out = wire::grant{};
        out.__set_attempt_key(attempt(in.attempt));
        if (in.prefill) {
            out.__set_prefill(in.prefill->value);
        }
        out.__set_decode(in.decode.value);
        out.__set_pieces(in.pieces.value);
        out.__set_prefill_start_left_us(this->left_until(in.prefill_start));
        out.__set_ready(in.ready);
        out.__set_deadline_left_us(this->left_until(in.deadline));
        content.__set_grant_body(out);
    }

    static auto fill(wire::body& content, cell::decode_ready const& in) -> void {
        auto out = wire::decode_ready{};
        out.__set_attempt_key(attempt(in.attempt));
        out.__set_decode(in.decode.value);
        content.__set_decode_ready_body(out);
    }

    auto fill(wire::body& content, cell::refuse const& in) const -> void {
        auto out = wire::refuse{};
        out.__set_attempt_key(attempt(in.attempt));
        out.__set_reason(code(in.reason));
        out.__set_retry_left_us(this->left_until(in.retry_at));
        content.__set_refuse_body(out);
    }

    static auto fill(wire::body& content, renewals_accepted const& in) -> void {
        auto out = wire::renewed{};
        out.__set_round(number(in.round));
        content.__set_renewed_body(out);
    }

    static auto fill(wire::body& content, not_keeper const& /*in*/) -> void {
        content.__set_not_keeper_body(wire::not_keeper{});
    }

    // ---- Groups ----

    template <typename... Alternatives>
    auto fill_any(wire::envelope& frame, std::variant<Alternatives...> const& message) const
        -> void {
        std::visit([&](auto const& one) { this->fill(frame.content, one); }, message);
    }

    auto fill_frame(wire::envelope& frame, membership::peer_message const& message) const -> void {
        this->fill_any(frame, message);
    }

    auto fill_frame(wire::envelope& frame, document::peer_message const& message) const -> void {
        this->fill_any(frame, message);
    }

    auto fill_frame(wire::envelope& frame, claim::peer_message const& message) const -> void {
        this->fill_any(frame, message);
    }

    auto fill_frame(wire::envelope& frame, request_to_cell const& message) const -> void {
        set_cell(frame, message.cell);
        this->fill_any(frame, message.request);
    }

    auto fill_frame(wire::envelope& frame, reply_from_cell const& message) const -> void {
        set_cell(frame, message.cell);
        this->fill_any(frame, message.reply);
    }

    static auto fill_frame(wire::envelope& frame, leaving_marks const& message) -> void {
        auto out = wire::leaving_marks{};
        out.__set_service_name(message.service.value);
        for (auto const& upstream : message.upstreams) {
            out.upstreams.push_back(upstream.value);
        }
        frame.content.__set_leaving_marks_body(out);
    }

private:
    static auto set_cell(wire::envelope& frame, cell_key const& key) -> void {
        auto out = wire::cell_key{};
        out.__set_data_centre(key.data_centre.value);
        out.__set_service_name(key.service.value);
        out.__set_number(static_cast<std::int64_t>(key.number));
        frame.__set_cell(out);
    }

    base::time_point now;
};

}  // namespace

auto to_wire(envelope const& message, base::time_point now) -> wire::envelope {
    auto frame = wire::envelope{};
    frame.__set_version(protocol_version);
    frame.__set_host(message.host.value);
    frame.__set_data_centre(message.data_centre.value);
    frame.__set_incarnation(writer::number(message.incarnation));
    auto const out = writer{now};
    std::visit([&](auto const& content) { out.fill_frame(frame, content); }, message.body);
    return frame;
}

}  // namespace linnetlane::protocol
