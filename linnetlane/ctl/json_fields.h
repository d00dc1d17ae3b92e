// Conversion to and from JSON for aggregates that list their fields:
//
//   struct point {
//       int x = 0;
//       std::optional<int> y;
//       static constexpr auto fields = std::tuple{json_field{"x", &point::x},
//                                                 json_field{"y", &point::y}};
//   };
//
// A `std::optional` field may be absent or null. A missing field of another type, or a value of the
// wrong type, throws `nlohmann::json::exception`.

#ifndef LINNETLANE_CTL_JSON_FIELDS_H_
#define LINNETLANE_CTL_JSON_FIELDS_H_

#include <optional>
#include <string>
#include <tuple>

#include <nlohmann/json.hpp>

#include "linnetlane/base/ids.h"

namespace linnetlane::ctl {

// The name of a field in JSON and the member that holds it.
template <typename Class, typename Member>
struct json_field {
    constexpr json_field(char const* json_name, Member Class::*class_member)
        : name{json_name}, member{class_member} {}

    char const* name;
    Member Class::*member;
};

template <typename Class>
concept has_json_fields = requires {
    std::tuple_size<decltype(Class::fields)>::value;
};

template <has_json_fields Class>
auto to_json(nlohmann::json& target, Class const& source) -> void {
    target = nlohmann::json::object();
    auto const put = [&](auto const& field) { target[field.name] = source.*field.member; };
    std::apply([&](auto const&... field) { (put(field), ...); }, Class::fields);
}

template <typename Member>
auto read_member(nlohmann::json const& source, char const* name, Member& target) -> void {
    source.at(name).get_to(target);
}

template <typename Member>
auto read_member(nlohmann::json const& source, char const* name, std::optional<Member>& target)
    -> void {
    if (source.contains(name) && !source.at(name).is_null()) {
        target = source.at(name).template get<Member>();
    }
}

template <has_json_fields Class>
auto from_json(nlohmann::json const& source, Class& target) -> void {
    auto const read = [&](auto const& field) {
        read_member(source, field.name, target.*field.member);
    };
    std::apply([&](auto const&... field) { (read(field), ...); }, Class::fields);
}

}  // namespace linnetlane::ctl

template <typename Value>
struct nlohmann::adl_serializer<std::optional<Value>> {
    static auto to_json(nlohmann::json& target, std::optional<Value> const& source) -> void {
        target = source ? nlohmann::json(*source) : nlohmann::json(nullptr);
    }
};

template <typename Tag>
struct nlohmann::adl_serializer<linnetlane::base::basic_name<Tag>> {
    static auto to_json(nlohmann::json& target, linnetlane::base::basic_name<Tag> const& source)
        -> void {
        target = source.value;
    }
    static auto from_json(nlohmann::json const& source, linnetlane::base::basic_name<Tag>& target)
        -> void {
        source.get_to(target.value);
    }
};

template <typename Tag>
struct nlohmann::adl_serializer<linnetlane::base::basic_number<Tag>> {
    static auto to_json(nlohmann::json& target, linnetlane::base::basic_number<Tag> const& source)
        -> void {
        target = source.value;
    }
    static auto from_json(nlohmann::json const& source, linnetlane::base::basic_number<Tag>& target)
        -> void {
        source.get_to(target.value);
    }
};

#endif  // LINNETLANE_CTL_JSON_FIELDS_H_
