#include "linnetlane/router/event_framing.h"

#include <algorithm>
#include <charconv>
#include <cstddef>

namespace linnetlane::router {

namespace {

constexpr auto id_field = std::string_view{"id:"};

// Returns the position after the last blank line in `text`, or 0 if there is none.
auto end_of_last_event(std::string_view text) -> std::size_t {
    auto const ends_at = [&](std::string_view mark) {
        auto const place = text.rfind(mark);
        return place == std::string_view::npos ? 0 : place + mark.size();
    };
    return std::max(ends_at("\n\n"), ends_at("\r\n\r\n"));
}

auto read_id(std::string_view line) -> std::optional<std::uint64_t> {
    if (!line.starts_with(id_field)) {
        return std::nullopt;
    }
    auto digits = line.substr(id_field.size());
    digits.remove_prefix(std::min(digits.find_first_not_of(' '), digits.size()));
    auto id = std::uint64_t{0};
    auto const parsed = std::from_chars(digits.data(), digits.data() + digits.size(), id);
    return parsed.ec == std::errc{} ? std::optional{id} : std::nullopt;
}

}  // namespace

auto event_framing::take(std::string_view bytes) -> std::string {
    // The bytes before hold no end of an event; one may begin in the last of them.
    constexpr auto longest_overlap = std::size_t{3};
    auto const searched = this->pending.size() - std::min(this->pending.size(), longest_overlap);
    this->pending += bytes;
    auto const found = end_of_last_event(std::string_view{this->pending}.substr(searched));
    auto const end = found == 0 ? 0 : searched + found;
    auto whole = this->pending.substr(0, end);
    this->pending.erase(0, end);
    for (auto rest = std::string_view{whole}; !rest.empty();) {
        auto const line_end = std::min(rest.find('\n'), rest.size() - 1);
        if (auto const id = read_id(rest.substr(0, line_end))) {
            this->last_complete_id = id;
        }
        rest.remove_prefix(line_end + 1);
    }
    return whole;
}

}  // namespace linnetlane::router
