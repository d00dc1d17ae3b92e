// Formats text tables for terminal output.

#ifndef LINNETLANE_CTL_TABLE_H_
#define LINNETLANE_CTL_TABLE_H_

#include <string>
#include <vector>

namespace linnetlane::ctl {

// Column titles and rows. Every row must have as many cells as there are titles.
struct text_table {
    std::vector<std::string> titles;
    std::vector<std::vector<std::string>> rows;
};

// Returns the table with aligned columns, two spaces apart. Each line ends with a line break.
[[nodiscard]] auto format_table(text_table const& table) -> std::string;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_TABLE_H_
