// Strong types for identifiers.
//
// A `host_id` can't be passed where an `upstream_id` is meant, and neither converts from a bare
// string by accident:
//
//   auto host = host_id{"bne-north-1"};
//   auto request = parse_request_id("0af7651916cd43dd8448eb211c80319c");

#ifndef LINNETLANE_BASE_IDS_H_
#define LINNETLANE_BASE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <ostream>
#include <string>
#include <string_view>

namespace linnetlane::base {

// A string identifier of the kind `Tag`. Thread-compatible.
template <typename Tag>
struct basic_name {
    std::string value;

    friend auto operator<=>(basic_name const&, basic_name const&) -> std::strong_ordering = default;
    friend auto operator<<(std::ostream& out, basic_name const& name) -> std::ostream& {
        return out << name.value;
    }
};

// A numeric identifier of the kind `Tag`. Can be ordered but not computed with.
template <typename Tag>
struct basic_number {
    std::uint64_t value = 0;

    friend auto operator<=>(basic_number const&, basic_number const&)
        -> std::strong_ordering = default;
    friend auto operator<<(std::ostream& out, basic_number const& number) -> std::ostream& {
        return out << number.value;
    }
    // The number after this one.
    [[nodiscard]] auto next() const -> basic_number { return basic_number{this->value + 1}; }
};

// A host: one process of the system. Its name stays when the machine is replaced.
using host_id = basic_name<struct host_tag>;
// A data centre, with its own hosts and upstreams.
using data_centre_id = basic_name<struct data_centre_tag>;
// A back end: a model engine or a plain service instance.
using upstream_id = basic_name<struct upstream_tag>;
// The version of an upstream's software, which differs from that of its model weights.
using software_version = basic_name<struct software_version_tag>;
// A service, as its document names it.
using service_id = basic_name<struct service_tag>;
// An account that sends requests.
using caller_id = basic_name<struct caller_tag>;
// Where a value stands in a document, such as `routes[2].host`.
using document_path = basic_name<struct document_path_tag>;
// The id that a caller gave its request.
using caller_request_id = basic_name<struct caller_request_tag>;
// A key sent by the caller to make its request idempotent.
using idempotency_key = basic_name<struct idempotency_key_tag>;
// A part of a prompt that several requests may share, identified by its content.
using prompt_part_id = basic_name<struct prompt_part_tag>;
// Identifies requests with the same method, path, caller and body.
using request_digest = basic_name<struct request_digest_tag>;
// A group of one service's upstreams in one data centre that share a keeper.
using cell_id = basic_name<struct cell_tag>;

// Counts starts of a host: a later process under the same name has a higher number.
using incarnation = basic_number<struct incarnation_tag>;
// Counts accepted versions of a service document.
using generation = basic_number<struct generation_tag>;
// Counts the attempts to place one request; responses to any but the current attempt are dropped.
using attempt_number = basic_number<struct attempt_tag>;
// Fencing token of the host that gives orders to engines; an engine may refuse a lower number.
using fencing_number = basic_number<struct fencing_tag>;
// Identifies a grant of engine memory; unique within one incarnation of a keeper.
using grant_id = basic_number<struct grant_tag>;
// A hash of a prompt's leading pieces.
using prefix_hash = basic_number<struct prefix_tag>;

// Identifies a request for its whole lifetime. Also the trace id of W3C trace context.
struct request_id {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    friend auto operator<=>(request_id const&, request_id const&) -> std::strong_ordering = default;
};

// The 32 lower-case hexadecimal digits of `id`.
[[nodiscard]] auto to_string(request_id const& id) -> std::string;

// Parses the output of `to_string`. Returns nullopt if `text` has another format.
[[nodiscard]] auto parse_request_id(std::string_view text) -> std::optional<request_id>;

auto operator<<(std::ostream& out, request_id const& id) -> std::ostream&;

}  // namespace linnetlane::base

template <typename Tag>
struct std::hash<linnetlane::base::basic_name<Tag>> {
    auto operator()(linnetlane::base::basic_name<Tag> const& name) const noexcept -> std::size_t {
        return std::hash<std::string>{}(name.value);
    }
};

template <typename Tag>
struct std::hash<linnetlane::base::basic_number<Tag>> {
    auto operator()(linnetlane::base::basic_number<Tag> const& number) const noexcept
        -> std::size_t {
        return std::hash<std::uint64_t>{}(number.value);
    }
};

template <>
struct std::hash<linnetlane::base::request_id> {
    auto operator()(linnetlane::base::request_id const& id) const noexcept -> std::size_t {
        return std::hash<std::uint64_t>{}(id.high ^ (id.low * 0x9E3779B97F4A7C15ULL));
    }
};

#endif  // LINNETLANE_BASE_IDS_H_
