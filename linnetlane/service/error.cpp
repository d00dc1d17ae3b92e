#include "linnetlane/service/error.h"

#include <string_view>

#include <fmt/format.h>

#include "linnetlane/base/result.h"

namespace linnetlane::service {

namespace {

struct fault_text {
    std::string_view word;
    std::string_view sentence;
};

auto text_of(document_fault fault) -> fault_text {
    switch (fault) {
        case document_fault::too_long:
            return {"too_long", "longer than the platform's values may be"};
        case document_fault::out_of_bounds:
            return {"out_of_bounds", "out of bounds"};
        case document_fault::duplicate_upstream:
            return {"duplicate_upstream", "two upstreams of one id"};
        case document_fault::duplicate_address:
            return {"duplicate_address", "two upstreams at one address"};
        case document_fault::duplicate_caller:
            return {"duplicate_caller", "two callers of one id"};
        case document_fault::duplicate_key_hash:
            return {"duplicate_key_hash", "two callers that can't be told apart by key"};
        case document_fault::missing_key_hash:
            return {"missing_key_hash", "a caller without a key beside others that have one"};
        case document_fault::malformed_key_hash:
            return {"malformed_key_hash", "not a SHA-256 in 64 lower-case hexadecimal digits"};
        case document_fault::role_not_of_kind:
            return {"role_not_of_kind", "a role that the kind of service doesn't have"};
        case document_fault::lacks_upstreams:
            return {"lacks_upstreams", "too few upstreams to serve a request"};
        case document_fault::malformed_route:
            return {"malformed_route", "not a path prefix that this service may have"};
    }
    return {"unknown", "unknown error"};
}

auto word_of(settings::toml_fault fault) -> std::string_view {
    using settings::toml_fault;
    switch (fault) {
        case toml_fault::malformed:
            return "malformed";
        case toml_fault::unknown_key:
            return "unknown_key";
        case toml_fault::missing_key:
            return "missing_key";
        case toml_fault::wrong_type:
            return "wrong_type";
        case toml_fault::not_an_ip_address:
            return "not_an_ip_address";
        case toml_fault::not_a_duration:
            return "not_a_duration";
        case toml_fault::not_a_name:
            return "not_a_name";
        case toml_fault::unknown_word:
            return "unknown_word";
        case toml_fault::out_of_bounds:
            return "out_of_bounds";
    }
    return "unknown";
}

auto texts_of(document_error const& error) -> fault_text {
    return std::visit(
        base::overloaded{[](settings::toml_fault fault) {
                             return fault_text{word_of(fault), settings::describe(fault)};
                         },
                         [](document_fault fault) { return text_of(fault); }},
        error.fault);
}

}  // namespace

auto to_string(document_error const& error) -> std::string {
    auto text = error.line == 0 ? std::string{} : fmt::format("line {}: ", error.line);
    if (!error.key.empty()) {
        text += fmt::format("{}: ", error.key);
    }
    text += texts_of(error).sentence;
    if (!error.detail.empty()) {
        text += fmt::format(" ({})", error.detail);
    }
    return text;
}

auto fault_word(document_error const& error) -> std::string {
    return std::string{texts_of(error).word};
}

}  // namespace linnetlane::service
