// Conversions between the package's HTTP messages and Beast's.

#ifndef LINNETLANE_RUNTIME_INTERNAL_BEAST_MESSAGES_H_
#define LINNETLANE_RUNTIME_INTERNAL_BEAST_MESSAGES_H_

#include <algorithm>
#include <string>
#include <string_view>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/fields.hpp>

#include "linnetlane/runtime/http.h"

namespace linnetlane::runtime::internal {

inline auto to_view(boost::beast::string_view text) -> std::string_view {
    return {text.data(), text.size()};
}

inline auto to_beast(std::string_view text) -> boost::beast::string_view {
    return {text.data(), text.size()};
}

// Appends `fields` to a Beast message; fields that Beast sets by itself are left to it.
template <typename Message>
auto copy_fields(http_fields const& fields, Message& message) -> void {
    for (auto const& [name, value] : fields.entries) {
        message.insert(to_beast(name), to_beast(value));
    }
}

template <typename Message>
auto fields_of(Message const& message) -> http_fields {
    auto fields = http_fields{};
    for (auto const& field : message) {
        fields.add(std::string(to_view(field.name_string())), std::string(to_view(field.value())));
    }
    return fields;
}

// Returns whether the body has a transfer coding that can't be decoded. Beast knows only `chunked`:
// it takes a response with another last coding for one that ends with its connection, and a request
// for one without a body.
template <typename Message>
auto has_unknown_coding(Message const& message) -> bool {
    auto const codings = message.equal_range(boost::beast::http::field::transfer_encoding);
    return std::any_of(codings.first, codings.second, [](auto const& field) {
        return !boost::beast::iequals(field.value(), "chunked");
    });
}

}  // namespace linnetlane::runtime::internal

#endif  // LINNETLANE_RUNTIME_INTERNAL_BEAST_MESSAGES_H_
