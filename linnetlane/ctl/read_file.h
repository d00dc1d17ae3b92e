// Reads the file that a subcommand's argument names.

#ifndef LINNETLANE_CTL_READ_FILE_H_
#define LINNETLANE_CTL_READ_FILE_H_

#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>

namespace linnetlane::ctl {

// Reads the whole file, or standard input if `path` is `-`. Returns nothing if it can't be opened.
[[nodiscard]] inline auto read_file(std::string const& path) -> std::optional<std::string> {
    if (path == "-") {
        return std::string{std::istreambuf_iterator<char>{std::cin}, {}};
    }
    auto file = std::ifstream{path, std::ios::binary};
    if (!file.is_open()) {
        return std::nullopt;
    }
    return std::string{std::istreambuf_iterator<char>{file}, {}};
}

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_READ_FILE_H_
