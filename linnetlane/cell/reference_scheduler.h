// The reference for the differential test of the scheduler: plain lists with a full scan for each
// decision.
//
// It answers an acquire only if the correct answer involves neither a queue nor a booking.

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

struct reference_engine {
    service::upstream settings;
    bool reachable = true;
    bool leaving = false;
    base::time_point idle_at;

    [[nodiscard]] auto is_available(service::upstream_role role) const -> bool {
        return this->settings.role == role && this->reachable && !this->leaving;
    }
};

struct reference_grant {
    base::upstream_id decode;
    std::int64_t pieces = 0;
    bool ready = true;
    base::upstream_id prefill;
    base::time_point prefill_start;
    base::time_point prefill_end;
    // Whether its holder reported that it decodes.
    bool decoding = false;
};

using reference_answer = std::variant<grant, refusal>;

class reference_scheduler {
public:
    explicit reference_scheduler(configure const& settings) : shape(settings.shape) {
        for (auto const& upstream : settings.upstreams) {
            this->engines.push_back({upstream, true, false, {}});
        }
    }

    auto engine(base::upstream_id const& id) -> reference_engine& {
        for (auto& one : this->engines) {
            if (one.settings.id == id) {
                return one;
            }
        }
        return this->engines.front();
    }

    // Returns the answer that `message` must get now; nothing if it would have to wait or be
    // booked.
    auto answer(acquire const& message, base::time_point now) -> std::optional<reference_answer> {
        auto const need =
            base::pieces_for(message.prompt + message.output_bound, this->shape.piece_size);
        auto const* prefill = this->first_idle_prefill();
        if (!this->has_engine(service::upstream_role::decode) || prefill == nullptr) {
            return refusal::no_upstream;
        }
        if (need > this->shape.decode_pieces) {
            return refusal::too_large;
        }
        if (this->waiting > 0 || this->has_booking()) {
            return std::nullopt;
        }
        auto const* decode = this->emptiest_decode();
        auto const idle = prefill->idle_at <= now + prefill_lookahead;
        if (!idle || decode == nullptr || this->room(*decode) < need.value) {
            return std::nullopt;
        }
        auto made = grant{};
        made.attempt = message.attempt;
        made.prefill = prefill->settings.id;
        made.decode = decode->settings.id;
        made.pieces = need;
        made.prefill_start = std::max(now, prefill->idle_at);
        return made;
    }

    // Records a grant of the scheduler under test.
    auto apply_grant(grant const& granted, base::token_count prompt) -> void {
        auto const seconds =
            static_cast<double>(prompt.value) / this->shape.prefill_rate.per_second;
        auto const end = granted.prefill_start + base::from_seconds(seconds);
        this->held[granted.attempt] = {granted.decode,
                                       granted.pieces.value,
                                       granted.ready,
                                       *granted.prefill,
                                       granted.prefill_start,
                                       end,
                                       false};
        this->engine(*granted.prefill).idle_at = end;
    }

    // Removes a grant. If its prefill was the engine's last and ends early, the engine becomes
    // idle.
    auto remove_grant(attempt const& key, base::time_point now) -> void {
        auto const one = this->held[key];
        this->held.erase(key);
        auto& prefill = this->engine(one.prefill);
        if (!one.decoding && prefill.idle_at == one.prefill_end) {
            prefill.idle_at = std::min(one.prefill_end, std::max(now, one.prefill_start));
        }
    }

    service::engine_shape shape;
    std::vector<reference_engine> engines;
    std::map<attempt, reference_grant> held;
    // Acquires that are neither answered nor withdrawn.
    std::int64_t waiting = 0;

private:
    auto has_engine(service::upstream_role role) const -> bool {
        for (auto const& one : this->engines) {
            if (one.is_available(role)) {
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
    auto room(reference_engine const& engine) const -> std::int64_t {
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
    auto first_idle_prefill() const -> reference_engine const* {
        auto const* best = static_cast<reference_engine const*>(nullptr);
        for (auto const& one : this->engines) {
            auto const usable = one.is_available(service::upstream_role::prefill);
            if (usable && (best == nullptr || one.idle_at < best->idle_at)) {
                best = &one;
            }
        }
        return best;
    }
    auto emptiest_decode() const -> reference_engine const* {
        auto const* best = static_cast<reference_engine const*>(nullptr);
        for (auto const& one : this->engines) {
            auto const usable = one.is_available(service::upstream_role::decode);
            if (usable && (best == nullptr || this->room(one) >= this->room(*best))) {
                best = &one;
            }
        }
        return best;
    }
};

}  // namespace linnetlane::cell

#endif  // LINNETLANE_CELL_REFERENCE_SCHEDULER_H_
