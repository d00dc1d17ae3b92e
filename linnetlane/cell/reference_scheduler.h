// A naive scheduler for the differential test: plain lists, scanned whole for each decision.
//
// It answers an acquire only where the right answer needs no queue and no booking, and says nothing
// otherwise.

#ifndef LINNETLANE_CELL_REFERENCE_SCHEDULER_H_
#define LINNETLANE_CELL_REFERENCE_SCHEDULER_H_

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "linnetlane/cell/messages.h"
#include "linnetlane/cell/scheduler.h"

namespace linnetlane::cell {

struct naive_engine {
    service::upstream settings;
    bool reachable = true;
    bool leaving = false;
    base::time_point idle_at;

    [[nodiscard]] auto works(service::upstream_role role) const -> bool {
        return this->settings.role == role && this->reachable && !this->leaving;
    }
};

struct naive_grant {
    base::upstream_id decode;
    std::int64_t pieces = 0;
    bool ready = true;
    base::upstream_id prefill;
    base::time_point prefill_start;
    base::time_point prefill_end;
    // Its holder said that it decodes.
    bool decoding = false;
};

using naive_answer = std::variant<grant, refusal>;

class naive_scheduler {
public:
    explicit naive_scheduler(configure const& what) : shape(what.shape) {
        for (auto const& upstream : what.upstreams) {
            this->engines.push_back({upstream, true, false, {}});
        }
    }

    auto engine(base::upstream_id const& id) -> naive_engine& {
        for (auto& one : this->engines) {
            if (one.settings.id == id) {
                return one;
            }
        }
        return this->engines.front();
    }

    // What `question` must get now, if that is beyond doubt.
    auto answer(acquire const& question, base::time_point now) -> std::optional<naive_answer> {
        auto const need =
            base::pieces_for(question.prompt + question.output_bound, this->shape.piece_size);
        auto const* prefill = this->first_idle();
        if (!this->any(service::upstream_role::decode) || prefill == nullptr) {
            return refusal::no_upstream;
        }
        if (need > this->shape.decode_pieces) {
            return refusal::too_large;
        }
        if (this->waiting > 0 || this->has_booking()) {
            return std::nullopt;
        }
        auto const* decode = this->emptiest();
        auto const idle = prefill->idle_at <= now + prefill_lookahead;
        if (!idle || decode == nullptr || this->room(*decode) < need.value) {
            return std::nullopt;
        }
        auto made = grant{};
        made.attempt = question.attempt;
        made.prefill = prefill->settings.id;
        made.decode = decode->settings.id;
        made.pieces = need;
        made.prefill_start = std::max(now, prefill->idle_at);
        return made;
    }

    // Takes over what the other scheduler decided.
    auto adopt(grant const& what, base::token_count prompt) -> void {
        auto const seconds =
            static_cast<double>(prompt.value) / this->shape.prefill_rate.per_second;
        auto const end = what.prefill_start + base::from_seconds(seconds);
        this->held[what.attempt] = {what.decode,   what.pieces.value,  what.ready,
                                    *what.prefill, what.prefill_start, end,
                                    false};
        this->engine(*what.prefill).idle_at = end;
    }

    // Forgets a grant; a prefill that it ends early leaves its engine idle.
    auto give_back(attempt const& key, base::time_point now) -> void {
        auto const one = this->held[key];
        this->held.erase(key);
        auto& prefill = this->engine(one.prefill);
        if (!one.decoding && prefill.idle_at == one.prefill_end) {
            prefill.idle_at = std::min(one.prefill_end, std::max(now, one.prefill_start));
        }
    }

    service::engine_shape shape;
    std::vector<naive_engine> engines;
    std::map<attempt, naive_grant> held;
    // Acquires that neither was answered nor taken back.
    std::int64_t waiting = 0;

private:
    auto any(service::upstream_role role) const -> bool {
        for (auto const& one : this->engines) {
            if (one.works(role)) {
                return true;
            }
        }
        return false;
    }
    auto has_booking() const -> bool {
        for (auto const& [key, one] : this->held) {
            if (!one.ready) {
                return true;
            }
        }
        return false;
    }
    auto room(naive_engine const& engine) const -> std::int64_t {
        auto pieces = this->shape.decode_pieces.value;
        auto slots = this->shape.decode_slots;
        for (auto const& [key, one] : this->held) {
            if (one.decode == engine.settings.id) {
                pieces -= one.pieces;
                slots -= 1;
            }
        }
        return slots <= 0 ? 0 : pieces;
    }
    auto first_idle() const -> naive_engine const* {
        auto const* best = static_cast<naive_engine const*>(nullptr);
        for (auto const& one : this->engines) {
            auto const usable = one.works(service::upstream_role::prefill);
            if (usable && (best == nullptr || one.idle_at < best->idle_at)) {
                best = &one;
            }
        }
        return best;
    }
    auto emptiest() const -> naive_engine const* {
        auto const* best = static_cast<naive_engine const*>(nullptr);
        for (auto const& one : this->engines) {
            auto const usable = one.works(service::upstream_role::decode);
            if (usable && (best == nullptr || this->room(one) >= this->room(*best))) {
                best = &one;
            }
        }
        return best;
    }
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_REFERENCE_SCHEDULER_H_
