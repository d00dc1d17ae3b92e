#include "linnetlane/service/diff.h"

#include <map>
#include <string_view>
#include <utility>

#include <fmt/format.h>

#include "linnetlane/service/toml_table.h"

namespace linnetlane::service {

namespace {

// A document as values by path. A caller or upstream has one entry for the whole element and one
// for each of its keys.
struct flat_document {
    std::map<std::string, std::string> values;
    // Whole elements by path, such as `upstreams[finding-p1]`.
    std::map<std::string, std::string> elements;
};

// Formats an inline table such as `{ id = "j1", role = "plain" }`.
auto element_text(toml::table const& element) -> std::string {
    auto parts = std::vector<std::string>{};
    for (auto const& [key, node] : element) {
        parts.push_back(fmt::format("{} = {}", key.str(), value_text(node)));
    }
    return fmt::format("{{ {} }}", fmt::join(parts, ", "));
}

auto flatten(toml::table const& table, std::string const& prefix, flat_document& flat) -> void;

auto flatten_elements(toml::array const& array, std::string const& path, flat_document& flat)
    -> void {
    for (auto const& node : array) {
        auto const& element = *node.as_table();
        auto const element_path = fmt::format("{}[{}]", path, *element["id"].value<std::string>());
        flat.elements.emplace(element_path, element_text(element));
        flatten(element, element_path, flat);
    }
}

auto flatten(toml::table const& table, std::string const& prefix, flat_document& flat) -> void {
    for (auto const& [key, node] : table) {
        auto const path =
            prefix.empty() ? std::string{key.str()} : fmt::format("{}.{}", prefix, key.str());
        if (auto const* const inner = node.as_table()) {
            flatten(*inner, path, flat);
        } else if (node.is_array_of_tables()) {
            flatten_elements(*node.as_array(), path, flat);
        } else {
            flat.values.emplace(path, value_text(node));
        }
    }
}

auto flatten_document(document const& from) -> flat_document {
    auto flat = flat_document{};
    auto table = to_table(from);
    table.erase("generation");
    flatten(table, "", flat);
    return flat;
}

// The path of the element that contains `key`; empty if there is none.
auto element_of(std::string const& key) -> std::string {
    auto const end = key.find("].");
    return end == std::string::npos ? std::string{} : key.substr(0, end + 1);
}

// Whether the element that contains `key` is missing in `other`. Its entry as a whole then reports
// the difference.
auto is_covered(std::string const& key, flat_document const& other) -> bool {
    auto const element = element_of(key);
    return !element.empty() && !other.elements.contains(element);
}

using change_map = std::map<std::string, change>;

auto add_missing(std::map<std::string, std::string> const& from,
                 std::map<std::string, std::string> const& in, flat_document const& other,
                 change_kind kind, change_map& changes) -> void {
    for (auto const& [key, value] : from) {
        if (in.contains(key) || is_covered(key, other)) {
            continue;
        }
        auto difference = change{kind, key, "", ""};
        (kind == change_kind::removed ? difference.before : difference.after) = value;
        changes.emplace(key, std::move(difference));
    }
}

auto add_changed(flat_document const& before, flat_document const& after, change_map& changes)
    -> void {
    for (auto const& [key, value] : before.values) {
        auto const found = after.values.find(key);
        if (found != after.values.end() && found->second != value) {
            changes.emplace(key, change{change_kind::changed, key, value, found->second});
        }
    }
}

}  // namespace

auto diff_documents(document const& before, document const& after) -> std::vector<change> {
    auto const old_flat = flatten_document(before);
    auto const new_flat = flatten_document(after);
    auto changes = change_map{};
    add_missing(old_flat.elements, new_flat.elements, new_flat, change_kind::removed, changes);
    add_missing(old_flat.values, new_flat.values, new_flat, change_kind::removed, changes);
    add_missing(new_flat.elements, old_flat.elements, old_flat, change_kind::added, changes);
    add_missing(new_flat.values, old_flat.values, old_flat, change_kind::added, changes);
    add_changed(old_flat, new_flat, changes);
    auto result = std::vector<change>{};
    for (auto& [key, difference] : changes) {
        result.push_back(std::move(difference));
    }
    return result;
}

auto to_string(change const& difference) -> std::string {
    switch (difference.kind) {
        case change_kind::added:
            return fmt::format("+ {} = {}", difference.key, difference.after);
        case change_kind::removed:
            return fmt::format("- {} = {}", difference.key, difference.before);
        case change_kind::changed:
            break;
    }
    return fmt::format("~ {}: {} -> {}", difference.key, difference.before, difference.after);
}

}  // namespace linnetlane::service
