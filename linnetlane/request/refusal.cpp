#include "linnetlane/request/refusal.h"

#include <algorithm>
#include <chrono>

#include <nlohmann/json.hpp>

namespace linnetlane::request {

namespace {

// How a refusal type is reported to callers.
struct description {
    std::string_view name;
    std::string_view message;
    int status;
};

auto describe(refusal_type type) -> description {
    switch (type) {
        case refusal_type::malformed:
            return {"malformed", "The request could not be understood.", 400};
        case refusal_type::unauthorized:
            return {"unauthorized", "The key is missing or not known to the service.", 401};
        case refusal_type::unknown_service:
            return {"unknown_service", "No service of this name is in force.", 404};
        case refusal_type::body_too_large:
            return {"body_too_large", "The body is over the limit.", 413};
        case refusal_type::prompt_too_large:
            return {"prompt_too_large", "The prompt and answer fit in no engine.", 413};
        case refusal_type::overloaded:
            return {"overloaded", "The latency target can't be met with the work ahead.", 503};
        case refusal_type::over_share:
            return {"over_share", "The caller's share is used up while others wait.", 429};
        case refusal_type::no_upstream:
            return {"no_upstream", "No upstream of the service can take work.", 503};
        case refusal_type::keeper_starting:
            return {"keeper_starting", "The cell's keeper is starting.", 503};
        case refusal_type::booking_failed:
            return {"booking_failed", "A booked decode place did not come free in time.", 503};
        case refusal_type::deadline_exceeded:
            return {"deadline_exceeded", "The request's deadline passed.", 504};
        case refusal_type::upstream_failed:
            return {"upstream_failed", "The upstream failed.", 502};
        case refusal_type::cancelled:
            return {"cancelled", "The caller left.", 499};
        case refusal_type::shutting_down:
            return {"shutting_down", "The host is shutting down.", 503};
        case refusal_type::duplicate_under_way:
            return {"duplicate_under_way", "A call with this key is under way.", 409};
        case refusal_type::already_answered:
            return {"already_answered", "A call with this key ran; its answer was not kept.", 409};
        case refusal_type::outcome_unknown:
            return {"outcome_unknown", "A call with this key was sent; its outcome is unknown.",
                    502};
        case refusal_type::claim_unavailable:
            return {"claim_unavailable", "The key could not be claimed.", 503};
    }
    return {"unknown", "", 500};
}

auto name_of(outcome what) -> std::string_view {
    switch (what) {
        case outcome::not_run:
            return "not_run";
        case outcome::unknown:
            return "unknown";
        case outcome::ran:
            return "ran";
    }
    return "unknown";
}

}  // namespace

auto refusal_type_of(cell::refusal reason) -> refusal_type {
    switch (reason) {
        case cell::refusal::overloaded:
            return refusal_type::overloaded;
        case cell::refusal::over_share:
            return refusal_type::over_share;
        case cell::refusal::no_upstream:
            return refusal_type::no_upstream;
        case cell::refusal::too_large:
            return refusal_type::prompt_too_large;
        case cell::refusal::keeper_starting:
            return refusal_type::keeper_starting;
        case cell::refusal::booking_failed:
            return refusal_type::booking_failed;
    }
    return refusal_type::overloaded;
}

auto name_of(refusal_type type) -> std::string_view {
    return describe(type).name;
}

auto status_of(refusal_type type) -> int {
    return describe(type).status;
}

auto refusal_body(refusal const& refused, base::time_point now) -> std::string {
    auto const shown = describe(refused.type);
    auto error = nlohmann::json{
        {"type", shown.name},
        {"message", shown.message},
        {"outcome", name_of(refused.outcome)},
    };
    if (refused.retry_at) {
        auto const left = std::chrono::ceil<std::chrono::milliseconds>(*refused.retry_at - now);
        error["retry_after_ms"] = std::max<std::int64_t>(left.count(), 0);
    }
    return nlohmann::json{{"error", error}}.dump();
}

auto retry_after_seconds(refusal const& refused, base::time_point now)
    -> std::optional<std::int64_t> {
    if (!refused.retry_at) {
        return std::nullopt;
    }
    auto const left = std::chrono::ceil<std::chrono::seconds>(*refused.retry_at - now);
    return std::max<std::int64_t>(left.count(), 1);
}

auto operator<<(std::ostream& out, refusal const& refused) -> std::ostream& {
    return out << name_of(refused.type) << " (" << name_of(refused.outcome) << ")";
}

}  // namespace linnetlane::request
