#include "linnetlane/ctl/table.h"

#include <algorithm>
#include <cstddef>

#include <fmt/format.h>

namespace linnetlane::ctl {

namespace {

using row = std::vector<std::string>;

auto widths_of(text_table const& table) -> std::vector<std::size_t> {
    auto widths = std::vector<std::size_t>{};
    for (auto const& title : table.titles) {
        widths.push_back(title.size());
    }
    for (auto const& cells : table.rows) {
        for (auto column = std::size_t{0}; column < cells.size(); ++column) {
            widths[column] = std::max(widths[column], cells[column].size());
        }
    }
    return widths;
}

auto format_row(row const& cells, std::vector<std::size_t> const& widths) -> std::string {
    auto line = std::string{};
    for (auto column = std::size_t{0}; column < cells.size(); ++column) {
        auto const last = column + 1 == cells.size();
        line += last ? cells[column] : fmt::format("{:<{}}  ", cells[column], widths[column]);
    }
    return line + "\n";
}

}  // namespace

auto format_table(text_table const& table) -> std::string {
    auto const widths = widths_of(table);
    auto text = format_row(table.titles, widths);
    for (auto const& cells : table.rows) {
        text += format_row(cells, widths);
    }
    return text;
}

}  // namespace linnetlane::ctl
