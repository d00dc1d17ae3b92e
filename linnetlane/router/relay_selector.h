// Selects where a host reads changes of the registry: through another host of its data centre, or
// directly.
//
// One host of a data centre reads the registry for the others, and only hosts that read it are
// registered there. Each of them tells its followers which hosts to follow and in which order. If
// the first one fails, the next one in the order takes its place, so that a lost host doesn't send
// all of its followers to the registry. A host that isn't in the order reads the registry only as a
// last resort, after a delay that differs between hosts. A host that was silent is not asked again
// while there is another source, since each attempt costs the time until it has failed.
//
//   auto relays = relay_selector{self};
//   relays.set_order(order_relays(registered, {}));
//   auto const source = relays.choose(now);

#ifndef LINNETLANE_ROUTER_RELAY_SELECTOR_H_
#define LINNETLANE_ROUTER_RELAY_SELECTOR_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"

namespace linnetlane::router {

enum class change_origin {
    // No source is usable now.
    none,
    registry,
    // Another host.
    relay,
};

struct relay_choice {
    change_origin origin = change_origin::none;
    // Set if `origin` is `relay`.
    std::optional<host_entry> relay;
};

// Why a source did not provide changes.
enum class relay_failure {
    // There was no usable answer.
    unreachable,
    // The host answered that it doesn't read the registry or has lost it.
    without_registry,
};

// Returns the order in which hosts of one data centre are to be followed: registered hosts before
// their followers, hosts with more capacity first, at most `relay_selector::max_order` of them.
[[nodiscard]] auto order_relays(std::vector<host_entry> registered,
                                std::vector<host_entry> followers) -> std::vector<host_entry>;

// Not thread-safe; must be used on one worker only.
class relay_selector {
public:
    static constexpr auto max_order = std::size_t{8};
    // How long a source is skipped after a failure. Doubles with each further failure.
    static constexpr auto initial_cooldown = std::chrono::milliseconds{500};
    static constexpr auto max_cooldown = std::chrono::milliseconds{4000};
    // The same for a host that is alive but has lost the registry. It regains the registry as soon
    // as this host could.
    static constexpr auto max_cooldown_without_registry = std::chrono::milliseconds{1000};
    // The same for this host's own access to the registry, so that it notices the end of an outage
    // soon.
    static constexpr auto initial_registry_cooldown = std::chrono::milliseconds{200};
    static constexpr auto max_registry_cooldown = std::chrono::milliseconds{1000};
    // A host that reads the registry for others skips failed hosts for longer than a crashed host
    // stays registered, since asking one interrupts its own service.
    static constexpr auto reader_cooldown = std::chrono::seconds{12};
    // Lengthens the delay before the last resort if hosts of the order are alive but have lost the
    // registry, which then is probably unavailable to all.
    static constexpr auto outage_delay_factor = 4;
    // Divides that delay if a followed host fell silent, so that changes are late only briefly.
    static constexpr auto loss_delay_divisor = 8;

    explicit relay_selector(host_entry own) : self{std::move(own)} {}

    // Sets the delay after which this host reads the registry if no source has been usable.
    auto set_last_resort_delay(base::duration delay) -> void { this->last_resort_delay = delay; }
    // Records that the registry can be read again after a failure, and restarts the delay before
    // the last resort, since other hosts regain the registry at the same time. A host outside of
    // the order doesn't use the registry before.
    auto note_registry_regained(base::time_point now) -> void;
    // Returns the hosts to follow, whether or not they are usable now. They may include this host.
    [[nodiscard]] auto known_hosts() const -> std::vector<host_entry> const& { return this->order; }
    [[nodiscard]] auto has_order() const -> bool { return !this->order.empty(); }
    // Replaces the order of hosts to follow. It may include this host.
    auto set_order(std::vector<host_entry> hosts) -> void { this->order = std::move(hosts); }
    // Returns the source to use now. This host reads the registry if all hosts before it in the
    // order have failed.
    [[nodiscard]] auto choose(base::time_point now) -> relay_choice;
    // Returns the hosts before this one in the order that `choose` may return next.
    [[nodiscard]] auto candidates(base::time_point now) const -> std::vector<host_entry>;
    // Returns the hosts that followers of this host are to follow, in this order.
    [[nodiscard]] auto order_for_followers(base::time_point now) const -> std::vector<host_entry>;
    // Record whether a source provided changes. For the registry, `host` is this host.
    auto note_failure(base::host_id const& host, relay_failure kind, base::time_point now) -> void;
    auto note_success(base::host_id const& host) -> void;
    // Records that a host answered that it follows `host`. Replaces earlier such answers.
    auto note_followed_elsewhere(base::host_id const& host) -> void;

    [[nodiscard]] auto own_entry() const -> host_entry const& { return this->self; }

private:
    struct failure_record {
        base::time_point last;
        base::duration cooldown{};
        relay_failure kind = relay_failure::unreachable;
        // Another host follows it, so it may have been silent only to this one.
        bool followed_elsewhere = false;
    };

    // Returns whether `one` may be chosen while there are other sources.
    [[nodiscard]] auto is_preferred(host_entry const& one, base::time_point now) const -> bool;
    // Returns whether `one` may be chosen if there is no other source.
    [[nodiscard]] auto is_usable(host_entry const& one, base::time_point now) const -> bool;
    // Returns whether this host must read the registry because no other source has been usable for
    // long enough.
    [[nodiscard]] auto is_last_resort(base::time_point now) -> bool;

    host_entry self;
    std::vector<host_entry> order;
    std::map<base::host_id, failure_record> failures;
    base::duration last_resort_delay{};
    // When no source was usable for the first time since the last success.
    std::optional<base::time_point> without_source_since;
    // The last choice was the registry, and it has not failed since.
    bool reads_registry = false;
    // This host's last attempt to read the registry failed.
    bool lost_registry = false;
    // Some source has provided changes.
    bool had_source = false;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_RELAY_SELECTOR_H_
