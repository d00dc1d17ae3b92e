// Remembers when each of many subjects was last answered, in a fixed amount of memory.
//
// A set-associative table of fingerprints: the time of `note` and `find` doesn't depend on how many
// subjects are remembered. A subject is forgotten when later ones fill its set. With 120,000 other
// subjects noted since, about 1 in 50 is forgotten; `find` returns another subject's time for fewer
// than 1 in a million that were never noted.

#ifndef LINNETLANE_ROUTING_ANSWER_MEMORY_H_
#define LINNETLANE_ROUTING_ANSWER_MEMORY_H_

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>
#include <vector>

#include <xxhash.h>

#include "linnetlane/base/time.h"

namespace linnetlane::routing {

// Not thread-safe; must be used on one worker only. Takes 2 MB from the first `note` on.
class answer_memory {
public:
    static constexpr auto set_count = std::size_t{1} << 15U;
    static constexpr auto entries_per_set = std::size_t{8};
    // Times are rounded down to a multiple of this.
    using tick = std::chrono::duration<std::uint64_t, std::ratio<1, 10'000>>;

    // Records that the subject was answered at `at`, unless a later answer is known.
    auto note(std::string_view subject, base::time_point at) -> void {
        if (this->sets.empty()) {
            this->sets.resize(set_count);
        }
        auto const place = locate(subject);
        auto& entries = this->sets[place.set];
        auto const ticks = ticks_of(at);
        auto* chosen = &entries.front();
        for (auto& one : entries) {
            if (one.ticks != 0 && one.fingerprint == place.fingerprint) {
                one.ticks = std::max<std::uint64_t>(one.ticks, ticks);
                return;
            }
            if (one.ticks < chosen->ticks) {
                chosen = &one;
            }
        }
        *chosen = entry{place.fingerprint, ticks};
    }

    // Returns the time of the last answer, or nothing if none is known.
    [[nodiscard]] auto find(std::string_view subject) const -> std::optional<base::time_point> {
        if (this->sets.empty()) {
            return std::nullopt;
        }
        auto const place = locate(subject);
        for (auto const& one : this->sets[place.set]) {
            if (one.ticks != 0 && one.fingerprint == place.fingerprint) {
                return base::time_point{
                    std::chrono::duration_cast<base::duration>(tick{one.ticks})};
            }
        }
        return std::nullopt;
    }

private:
    static constexpr auto fingerprint_bits = 24U;
    static constexpr auto tick_bits = 40U;

    // Free if `ticks` is 0.
    struct entry {
        std::uint64_t fingerprint : fingerprint_bits = 0;
        std::uint64_t ticks : tick_bits = 0;
    };
    struct location {
        std::size_t set = 0;
        std::uint64_t fingerprint = 0;
    };

    [[nodiscard]] static auto locate(std::string_view subject) -> location {
        auto const hash = XXH3_64bits(subject.data(), subject.size());
        return {static_cast<std::size_t>(hash % set_count),
                hash >> (std::numeric_limits<std::uint64_t>::digits - fingerprint_bits)};
    }
    // Returns at least 1.
    [[nodiscard]] static auto ticks_of(base::time_point at) -> std::uint64_t {
        auto const since_start = std::max(at.time_since_epoch(), base::duration::zero());
        return std::max<std::uint64_t>(std::chrono::floor<tick>(since_start).count(), 1);
    }

    // Empty until the first answer.
    std::vector<std::array<entry, entries_per_set>> sets;
};

}  // namespace linnetlane::routing

#endif  // LINNETLANE_ROUTING_ANSWER_MEMORY_H_
