#include "linnetlane/ctl/completion.h"

#include <map>
#include <set>
#include <string_view>

#include <fmt/format.h>

namespace linnetlane::ctl {

namespace {

struct command_words {
    std::set<std::string> first;
    // The second words of two-word subcommands, by first word.
    std::map<std::string, std::set<std::string>> second;
};

auto words_of(std::span<command const> commands) -> command_words {
    auto words = command_words{};
    for (auto const& entry : commands) {
        auto const space = entry.name.find(' ');
        auto const first = std::string{entry.name.substr(0, space)};
        words.first.insert(first);
        if (space != std::string_view::npos) {
            words.second[first].emplace(entry.name.substr(space + 1));
        }
    }
    return words;
}

auto options_text(std::span<command const> commands) -> std::string {
    auto names = std::set<std::string>{"--help", "--output", "--host"};
    for (auto const& entry : commands) {
        if (entry.add_options == nullptr) {
            continue;
        }
        auto options = options_description{};
        entry.add_options(options);
        for (auto const& option : options.options()) {
            names.insert("--" + option->long_name());
        }
    }
    return fmt::format("{}", fmt::join(names, " "));
}

}  // namespace

auto bash_completion(std::span<command const> commands) -> std::string {
    auto const words = words_of(commands);
    auto text = std::string{
        "# bash completion for linnetctl; use: source <(linnetctl completion bash)\n"
        "_linnetctl() {\n"
        "    local current=${COMP_WORDS[COMP_CWORD]}\n"
        "    if [[ $current == -* ]]; then\n"};
    text += fmt::format("        COMPREPLY=($(compgen -W \"{}\" -- \"$current\"))\n",
                        options_text(commands));
    text += "        return\n    fi\n    case $COMP_CWORD in\n";
    text += fmt::format("        1) COMPREPLY=($(compgen -W \"{}\" -- \"$current\")) ;;\n",
                        fmt::join(words.first, " "));
    text += "        2)\n            case ${COMP_WORDS[1]} in\n";
    for (auto const& [first, second] : words.second) {
        text +=
            fmt::format("                {}) COMPREPLY=($(compgen -W \"{}\" -- \"$current\")) ;;\n",
                        first, fmt::join(second, " "));
    }
    text +=
        "            esac ;;\n"
        "        *) COMPREPLY=($(compgen -f -- \"$current\")) ;;\n"
        "    esac\n"
        "}\n"
        "complete -F _linnetctl linnetctl\n";
    return text;
}

}  // namespace linnetlane::ctl
