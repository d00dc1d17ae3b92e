// Typed fields of log lines and spans. A field holds an id, an amount, a time or a literal. It
// can't be constructed from free text, so prompts, answers and keys can't be recorded.

#ifndef LINNETLANE_TELEMETRY_FIELD_H_
#define LINNETLANE_TELEMETRY_FIELD_H_

#include <concepts>
#include <cstdint>
#include <string_view>
#include <variant>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/base/units.h"
#include "linnetlane/telemetry/literal.h"

namespace linnetlane::telemetry {

// A name and a value. Refers to its constructor's arguments, so it must be used within the full
// expression that creates it.
class field {
public:
    using value_type = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool,
                                    base::request_id, base::endpoint const*>;

    // NOLINTBEGIN(*-explicit-*): implicit, so that calls can pass ids directly.
    field(base::request_id const& id) : field{any_value{}, "request", value_type{id}} {}
    field(base::attempt_number number) : field{any_value{}, "attempt", value_type{number.value}} {}
    field(base::host_id const& id) : field{any_value{}, "host", name_of(id)} {}
    field(base::data_centre_id const& id) : field{any_value{}, "data_centre", name_of(id)} {}
    field(base::upstream_id const& id) : field{any_value{}, "upstream", name_of(id)} {}
    field(base::service_id const& id) : field{any_value{}, "service", name_of(id)} {}
    field(base::caller_id const& id) : field{any_value{}, "caller", name_of(id)} {}
    field(base::caller_request_id const& id) : field{any_value{}, "request", name_of(id)} {}
    field(base::cell_id const& id) : field{any_value{}, "cell", name_of(id)} {}
    field(base::generation number) : field{any_value{}, "generation", value_type{number.value}} {}
    field(base::incarnation number) : field{any_value{}, "incarnation", value_type{number.value}} {}
    field(base::fencing_number number) : field{any_value{}, "fencing", value_type{number.value}} {}
    field(base::endpoint const& address) : field{any_value{}, "address", value_type{&address}} {}
    // NOLINTEND(*-explicit-*)
    field(literal name, literal word) : field{any_value{}, name, value_type{word.text}} {}
    // A template, so that a string literal isn't converted to bool.
    field(literal name, std::same_as<bool> auto flag)
        : field{any_value{}, name, value_type{bool{flag}}} {}
    field(literal name, std::int64_t count) : field{any_value{}, name, value_type{count}} {}
    field(literal name, base::token_count tokens) : field{name, tokens.value} {}
    field(literal name, base::piece_count pieces) : field{name, pieces.value} {}
    field(literal name, base::byte_count bytes) : field{name, bytes.value} {}
    // Recorded in seconds.
    field(literal name, base::duration span)
        : field{any_value{}, name, value_type{base::to_seconds(span)}} {}
    // Records `id` under `name` instead of the label of its type.
    template <typename Tag>
    static auto named(literal name, base::basic_name<Tag> const& id) -> field {
        return {any_value{}, name, name_of(id)};
    }
    // A host other than the one that writes the record.
    static auto peer(base::host_id const& id) -> field {
        return {any_value{}, "peer", name_of(id)};
    }

    [[nodiscard]] auto name() const -> literal { return this->label; }
    [[nodiscard]] auto value() const -> value_type const& { return this->content; }

private:
    // Tag of the private constructor, which takes any value.
    struct any_value {};

    field(any_value, literal name, value_type value) : label{name}, content{value} {}

    template <typename Tag>
    static auto name_of(base::basic_name<Tag> const& id) -> value_type {
        return std::string_view{id.value};
    }

    literal label;
    value_type content;
};

}  // namespace linnetlane::telemetry

#endif  // LINNETLANE_TELEMETRY_FIELD_H_
