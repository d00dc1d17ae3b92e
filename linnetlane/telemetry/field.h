// Typed fields of log lines and spans. Ids, amounts, times and literals may be recorded; there is
// no field for free text, so prompts, answers and keys can't get in.

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

// A name and a value. Borrows what it was made from: use it in the call that it is made for.
class field {
public:
    using value_type = std::variant<std::string_view, std::int64_t, std::uint64_t, double, bool,
                                    base::request_id, base::endpoint const*>;

    // NOLINTBEGIN(*-explicit-*): implicit, so that ids are passed as they are.
    field(base::request_id const& id) : field{checked{}, "request", value_type{id}} {}
    field(base::attempt_number number) : field{checked{}, "attempt", value_type{number.value}} {}
    field(base::host_id const& id) : field{checked{}, "host", name_of(id)} {}
    field(base::data_centre_id const& id) : field{checked{}, "data_centre", name_of(id)} {}
    field(base::upstream_id const& id) : field{checked{}, "upstream", name_of(id)} {}
    field(base::service_id const& id) : field{checked{}, "service", name_of(id)} {}
    field(base::caller_id const& id) : field{checked{}, "caller", name_of(id)} {}
    field(base::caller_request_id const& id) : field{checked{}, "request", name_of(id)} {}
    field(base::cell_id const& id) : field{checked{}, "cell", name_of(id)} {}
    field(base::generation number) : field{checked{}, "generation", value_type{number.value}} {}
    field(base::incarnation number) : field{checked{}, "incarnation", value_type{number.value}} {}
    field(base::fencing_number number) : field{checked{}, "fencing", value_type{number.value}} {}
    field(base::endpoint const& address) : field{checked{}, "address", value_type{&address}} {}
    // NOLINTEND(*-explicit-*)
    field(literal name, literal word) : field{checked{}, name, value_type{word.text}} {}
    // A template, so that a string literal isn't taken for a flag.
    field(literal name, std::same_as<bool> auto flag)
        : field{checked{}, name, value_type{bool{flag}}} {}
    field(literal name, std::int64_t count) : field{checked{}, name, value_type{count}} {}
    field(literal name, base::token_count tokens) : field{name, tokens.value} {}
    field(literal name, base::piece_count pieces) : field{name, pieces.value} {}
    field(literal name, base::byte_count bytes) : field{name, bytes.value} {}
    // Seconds.
    field(literal name, base::duration span)
        : field{checked{}, name, value_type{base::to_seconds(span)}} {}
    // A name under another label than the one of its kind.
    template <typename Tag>
    static auto named(literal name, base::basic_name<Tag> const& id) -> field {
        return {checked{}, name, name_of(id)};
    }
    // Another host than the one that writes.
    static auto peer(base::host_id const& id) -> field { return {checked{}, "peer", name_of(id)}; }

    [[nodiscard]] auto name() const -> literal { return this->label; }
    [[nodiscard]] auto value() const -> value_type const& { return this->content; }

private:
    // Marks the constructor that takes any value.
    struct checked {};

    field(checked, literal name, value_type value) : label{name}, content{value} {}

    template <typename Tag>
    static auto name_of(base::basic_name<Tag> const& id) -> value_type {
        return std::string_view{id.value};
    }

    literal label;
    value_type content;
};

}  // namespace linnetlane::telemetry

#endif  // LINNETLANE_TELEMETRY_FIELD_H_
