#include <utility>

#include <boost/beast/core/string.hpp>

#include "linnetlane/runtime/http.h"

namespace linnetlane::runtime {

auto http_fields::find(std::string_view name) const -> std::optional<std::string_view> {
    for (auto const& [entry_name, value] : this->entries) {
        if (boost::beast::iequals(boost::beast::string_view(entry_name.data(), entry_name.size()),
                                  boost::beast::string_view(name.data(), name.size()))) {
            return value;
        }
    }
    return std::nullopt;
}

auto http_fields::add(std::string name, std::string value) -> void {
    this->entries.emplace_back(std::move(name), std::move(value));
}

}  // namespace linnetlane::runtime
