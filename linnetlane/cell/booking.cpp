#include "linnetlane/cell/booking.h"

#include <algorithm>
#include <cstdint>

#include "linnetlane/cell/placement.h"

namespace linnetlane::cell {
namespace {

// Bounds the engines examined for one request.
constexpr int max_engines_examined = 12;
// How long the confirmation of an abort is expected to take.
constexpr base::duration expected_abort_delay = std::chrono::milliseconds{300};

struct expected_release {
    base::time_point at;
    base::piece_count pieces;
};

auto expected_releases(account const& sums, base::time_point now) -> std::vector<expected_release> {
    auto releases = std::vector<expected_release>{};
    releases.reserve(sums.records.size());
    for (auto const* entry : sums.records) {
        if (entry->state == record_state::held) {
            releases.push_back({std::max(entry->expected_end, now), entry->pieces});
        } else if (entry->uses_pieces) {
            releases.push_back({now + expected_abort_delay, entry->pieces});
        }
    }
    std::sort(releases.begin(), releases.end(),
              [](auto const& left, auto const& right) { return left.at < right.at; });
    return releases;
}

}  // namespace

auto best_fit(upstream_pool const& pool, upstream_pool::free_order const& order,
              base::piece_count pieces, std::vector<base::upstream_id> const& avoid)
    -> std::optional<upstream_index> {
    auto examined = 0;
    for (auto place = order.lower_bound({pieces.value, 0});
         place != order.end() && examined < max_engines_examined; ++place, ++examined) {
        if (!is_avoided(pool, place->second, avoid)) {
            return place->second;
        }
    }
    return std::nullopt;
}

auto find_free_engine(upstream_pool const& pool, base::piece_count pieces,
                      std::vector<base::upstream_id> const& avoid, packing strategy)
    -> std::optional<upstream_index> {
    auto const& order = pool.by_free();
    if (strategy == packing::pack) {
        return best_fit(pool, order, pieces, avoid);
    }
    auto examined = 0;
    for (auto place = order.rbegin(); place != order.rend() && examined < max_engines_examined;
         ++place, ++examined) {
        if (place->first < pieces.value) {
            return std::nullopt;
        }
        if (!is_avoided(pool, place->second, avoid)) {
            return place->second;
        }
    }
    return std::nullopt;
}

auto predict_room(upstream_pool const& pool, ledger const& grants, upstream_index engine,
                  base::piece_count capacity, base::piece_count pieces, base::time_point now)
    -> std::optional<base::time_point> {
    auto const& sums = grants.account_of(engine);
    auto const& state = pool.at(engine);
    auto missing_pieces = sums.used + sums.booked + state.foreign + pieces - capacity;
    auto missing_slots = sums.running + sums.bookings + 1 - state.batch_limit;
    auto at = now;
    for (auto const& release : expected_releases(sums, now)) {
        if (missing_pieces.value <= 0 && missing_slots <= 0) {
            return at;
        }
        missing_pieces -= release.pieces;
        missing_slots -= 1;
        at = release.at;
    }
    if (missing_pieces.value <= 0 && missing_slots <= 0) {
        return at;
    }
    return std::nullopt;
}

auto find_upcoming_engine(upstream_pool const& pool, ledger const& grants,
                          base::piece_count capacity, base::piece_count pieces,
                          std::vector<base::upstream_id> const& avoid, base::time_point now,
                          base::time_point deadline) -> std::optional<decode_placement> {
    auto best = std::optional<decode_placement>{};
    auto examined = 0;
    for (auto const& [next_release, engine] : pool.by_release()) {
        if (next_release > deadline || examined == max_engines_examined) {
            break;
        }
        examined += 1;
        if (is_avoided(pool, engine, avoid)) {
            continue;
        }
        auto const at = predict_room(pool, grants, engine, capacity, pieces, now);
        if (at && *at <= deadline && (!best || *at < best->ready_at)) {
            best = decode_placement{engine, false, *at};
        }
    }
    return best;
}

}  // namespace linnetlane::cell
