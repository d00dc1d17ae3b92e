// Encodes and decodes the messages between hosts. The Thrift types are not exposed.

#ifndef LINNETLANE_ROUTER_PEER_CODEC_H_
#define LINNETLANE_ROUTER_PEER_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/routing/fact_board.h"

namespace linnetlane::router {

// A fact in a message, with the time since its observation.
struct aged_fact {
    routing::fact_key key;
    double value = 0;
    base::duration age{};

    friend auto operator==(aged_fact const&, aged_fact const&) -> bool = default;
};

[[nodiscard]] auto with_ages(std::vector<routing::shared_fact> const& facts, base::time_point now)
    -> std::vector<aged_fact>;
[[nodiscard]] auto without_ages(std::vector<aged_fact> const& facts, base::time_point now)
    -> std::vector<routing::shared_fact>;

// How many changes of the facts of a process are known to another one.
struct fact_mark {
    // Drawn by each process, since it counts its changes from 0.
    std::uint64_t process = 0;
    routing::fact_position position;

    friend auto operator==(fact_mark const&, fact_mark const&) -> bool = default;
};

// A request to a host that reads the registry, for the changes after a position.
struct changes_question {
    registry_position after;
    // How long the host may wait for a change before it answers.
    base::duration wait{};
    // The version of the configuration in force at the requesting host.
    routing::configuration_version configuration;
    // Requests all upstreams instead of the changes; `after` is ignored.
    bool complete = false;
    // The requesting host, which may become one to follow. Older hosts don't state it.
    std::optional<host_entry> sender = std::nullopt;
    // What the requesting host has learned since its last question.
    std::vector<aged_fact> facts = {};
    // The facts of the asked host that the requesting host knows. Older hosts don't state it and
    // don't exchange facts.
    std::optional<fact_mark> known_facts = std::nullopt;
};

// The changes since the position in a request.
struct registry_update {
    upstream_changes upstreams;
    // Null unless it is newer than that of the requesting host.
    std::shared_ptr<routing::configuration const> configuration;
    // `upstreams.put` holds all upstreams.
    bool complete = false;
    // How much longer the answering host keeps removed upstreams, since they may register again
    // after an outage of the registry.
    base::duration grace_left{};
    // The number of hosts of all data centres; 0 if not known.
    std::size_t hosts = 0;
    // The hosts to follow, in this order.
    std::vector<host_entry> relays = {};
    // The answering host doesn't read the registry but follows one of `relays`; there are no
    // changes.
    bool redirected = false;
    // The facts after those that the requesting host knows, up to `facts_at`. Older hosts don't
    // exchange facts.
    std::vector<aged_fact> facts = {};
    std::optional<fact_mark> facts_at = std::nullopt;
    // The time since the answering host's configuration was known to be the newest one, if it was.
    std::optional<base::duration> configuration_age = std::nullopt;
    // The version of that configuration. Older hosts don't state it.
    std::optional<routing::configuration_version> configuration_version = std::nullopt;
    // The position up to which the registry has shown no newer one. Older hosts don't state it.
    std::optional<registry_position> configuration_position = std::nullopt;
    // Some hosts of other data centres that read the registry. Their entries state no data centre.
    std::vector<host_entry> distant_readers = {};
    // As in `registry_state`. Older hosts don't state it.
    base::duration registry_answered_for{};
};

using changes_answer = base::result<registry_update, registry_failure>;

// A caller's request that another host sent on because it reaches no upstream.
struct forwarded_request {
    // As `caller_request::forwarded`.
    runtime::http_request request;
    // The time that the caller still allows.
    base::duration time_left{};
    // The digest of the key that the request carried, if there are accounts.
    std::optional<base::key_digest> key = std::nullopt;
    // The version of the configuration in force at the sender. Older hosts don't state it.
    std::optional<routing::configuration_version> configuration = std::nullopt;
    // The version that the upstream which runs the request must have; nothing if it may be any.
    std::optional<base::software_version> software = std::nullopt;
};

// Asks another host for the software version that began the stream which answers a request.
struct origin_question {
    // Empty if the caller didn't name the request.
    base::caller_request_id request;
    base::service_id service;
    // The asking host has an answer of the registry; the asked one uses its memory only.
    bool memory_only = false;

    friend auto operator==(origin_question const&, origin_question const&) -> bool = default;
};

struct origin_answer {
    // Nothing if the host doesn't know the version.
    std::optional<base::software_version> software;
    // The registry has answered the host.
    bool registry_answered = false;
    // The only version that the host has known for as long as a stream can be resumed.
    std::optional<base::software_version> sole_version;

    friend auto operator==(origin_answer const&, origin_answer const&) -> bool = default;
};

// Requests a part of an account's quota from the host that keeps it for the sender.
struct quota_question {
    base::caller_id account;
    // In the unit of the account's quota; negative to give back.
    double amount = 0;
    // The sender keeps quota for other hosts itself.
    bool from_keeper = false;
    routing::configuration_version configuration;

    friend auto operator==(quota_question const&, quota_question const&) -> bool = default;
};

struct quota_answer {
    double granted = 0;
    // The time until the amount is expected to be available, if it isn't granted.
    base::duration wait{};

    friend auto operator==(quota_answer const&, quota_answer const&) -> bool = default;
};

// The configuration in force at a host.
struct configuration_state {
    routing::configuration_version version;
    // The time since it was known to be the newest one; nothing if it never was.
    std::optional<base::duration> age;

    friend auto operator==(configuration_state const&, configuration_state const&)
        -> bool = default;
};

// Whether the registry was available to a host.
struct registry_state {
    // The time for which its answers have come without a gap up to now; zero if they don't come.
    base::duration answered_for{};

    friend auto operator==(registry_state const&, registry_state const&) -> bool = default;
};

// The targets of requests between hosts.
inline constexpr auto changes_target = std::string_view{"/upstream-changes"};
inline constexpr auto forward_target = std::string_view{"/forwarded-requests"};
// For requests of accounts, which hosts that know no accounts don't take.
inline constexpr auto keyed_forward_target = std::string_view{"/forwarded-account-requests"};
inline constexpr auto quota_target = std::string_view{"/account-quotas"};
inline constexpr auto facts_target = std::string_view{"/facts"};
inline constexpr auto origins_target = std::string_view{"/stream-origins"};
inline constexpr auto configuration_target = std::string_view{"/configuration-state"};
inline constexpr auto origin_hand_over_target = std::string_view{"/handed-over-stream-origins"};
inline constexpr auto registry_state_target = std::string_view{"/registry-state"};

[[nodiscard]] auto make_changes_request(changes_question const& question) -> runtime::http_request;
[[nodiscard]] auto make_forward_request(forwarded_request const& forwarded)
    -> runtime::http_request;
[[nodiscard]] auto make_fact_report(std::vector<aged_fact> const& facts) -> runtime::http_request;
// Returns nothing if `text` is malformed.
[[nodiscard]] auto decode_fact_report(std::string_view text)
    -> std::optional<std::vector<aged_fact>>;
// Returns nothing if `text` is malformed.
[[nodiscard]] auto decode_forwarded(std::string_view text) -> std::optional<forwarded_request>;
// Marks an answer as stating that the host didn't take the request, so that another may.
auto mark_forward_refusal(runtime::http_response& response) -> void;
// Returns whether the host didn't take the request. Hosts of older versions answer 400 and run
// nothing.
[[nodiscard]] auto is_forward_refusal(upstream_answer const& head,
                                      runtime::http_fields const& fields) -> bool;

[[nodiscard]] auto make_quota_request(quota_question const& question) -> runtime::http_request;
// Returns nothing if `text` is malformed.
[[nodiscard]] auto decode_quota_question(std::string_view text) -> std::optional<quota_question>;
[[nodiscard]] auto encode(quota_answer const& answer) -> std::string;
// Returns nothing if `text` is malformed.
[[nodiscard]] auto decode_quota_answer(std::string_view text) -> std::optional<quota_answer>;

[[nodiscard]] auto make_origin_request(origin_question const& question) -> runtime::http_request;
// Returns nothing if `text` is malformed.
[[nodiscard]] auto decode_origin_question(std::string_view text) -> std::optional<origin_question>;
[[nodiscard]] auto encode(origin_answer const& answer) -> std::string;
// Returns nothing if `text` is malformed or the answer of a host that doesn't know the question.
[[nodiscard]] auto decode_origin_answer(std::string_view text) -> std::optional<origin_answer>;

// Asks for the configuration in force at another host, and a proof that is no older than `age`.
[[nodiscard]] auto make_configuration_request(base::duration age) -> runtime::http_request;
// Returns the wanted age of the proof; nothing if it isn't stated, as by older hosts.
[[nodiscard]] auto decode_configuration_question(std::string_view text)
    -> std::optional<base::duration>;
[[nodiscard]] auto encode(configuration_state const& state) -> std::string;
// Returns nothing if `text` is malformed.
[[nodiscard]] auto decode_configuration_state(std::string_view text)
    -> std::optional<configuration_state>;

// Hands over the software versions of streams, for another host to keep.
[[nodiscard]] auto make_origin_hand_over(std::vector<stream_origin> const& origins)
    -> runtime::http_request;
// Returns nothing if `text` is malformed.
[[nodiscard]] auto decode_origin_hand_over(std::string_view text)
    -> std::optional<std::vector<stream_origin>>;

// Asks another host whether the registry was available to it.
[[nodiscard]] auto make_registry_state_request() -> runtime::http_request;
[[nodiscard]] auto encode(registry_state const& state) -> std::string;
// Returns nothing if `text` is malformed.
[[nodiscard]] auto decode_registry_state(std::string_view text) -> std::optional<registry_state>;

[[nodiscard]] auto encode(changes_question const& question) -> std::string;
[[nodiscard]] auto encode(changes_answer const& answer) -> std::string;

// Returns nothing if `text` is malformed or holds values that are out of bounds.
[[nodiscard]] auto decode_question(std::string_view text) -> std::optional<changes_question>;
// Returns `registry_failure::malformed` if `text` is malformed.
[[nodiscard]] auto decode_answer(std::string_view text) -> changes_answer;

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_PEER_CODEC_H_
