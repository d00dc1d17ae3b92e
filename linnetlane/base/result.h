// Results: a value or a typed failure, in a `std::variant` that the caller must inspect.
//
//   auto const parsed = parse_document(text);
//   if (auto const* failure = failure_of(parsed)) {
//       return *failure;
//   }
//   use(value_of(parsed));

#ifndef LINNETLANE_BASE_RESULT_H_
#define LINNETLANE_BASE_RESULT_H_

#include <utility>
#include <variant>

namespace linnetlane::base {

// Holds a `Value`, or the `Failure` that explains why there is none.
template <typename Value, typename Failure>
using result = std::variant<Value, Failure>;

// The value type of an operation that returns no value.
using nothing = std::monostate;

// Whether `outcome` holds its value.
template <typename Value, typename Failure>
[[nodiscard]] auto succeeded(std::variant<Value, Failure> const& outcome) -> bool {
    return outcome.index() == 0;
}

// The failure in `outcome`, or null.
template <typename Value, typename Failure>
[[nodiscard]] auto failure_of(std::variant<Value, Failure> const& outcome) -> Failure const* {
    return std::get_if<1>(&outcome);
}

// The value in `outcome`, which must hold one.
template <typename Value, typename Failure>
[[nodiscard]] auto value_of(std::variant<Value, Failure> const& outcome) -> Value const& {
    return std::get<0>(outcome);
}

// Moves the value out of `outcome`, which must hold one.
template <typename Value, typename Failure>
[[nodiscard]] auto take_value(std::variant<Value, Failure>&& outcome) -> Value {
    return std::get<0>(std::move(outcome));
}

// Joins lambdas into one visitor for `std::visit`.
template <typename... Handlers>
struct overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace linnetlane::base

#endif  // LINNETLANE_BASE_RESULT_H_
