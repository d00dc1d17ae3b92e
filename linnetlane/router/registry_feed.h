// What a host read from the registry lately, for the hosts that follow it instead of reading the
// registry themselves: changes of the upstreams, and the configuration.
//
//   feed.restart(listing.position);               // after a full read
//   feed.publish(changes, changes_from::registry);   // after each read of changes
//   feed.vouch(now + 1s);                         // the registry has just answered
//   auto const answer = feed.await(question, deadline);

#ifndef LINNETLANE_ROUTER_REGISTRY_FEED_H_
#define LINNETLANE_ROUTER_REGISTRY_FEED_H_

#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>

#include <boost/fiber/condition_variable.hpp>

#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/router/peer_codec.h"

namespace linnetlane::router {

// Where a host read changes.
enum class changes_from { registry, neighbour };

// Belongs to one worker.
class registry_feed {
public:
    // Reads of changes that are kept: minutes, at one read each fifth of a second.
    static constexpr auto most_kept = std::size_t{512};
    // A follower that asked lately is counted as one.
    static constexpr auto asked_lately = std::chrono::seconds{3};

    // Everything up to `at` was read; older changes are not known.
    auto restart(registry_position at) -> void;
    // Also for changes from a neighbour, on which nobody may rely at that time: a host that reads
    // the registry again later has to know everything since its last full read.
    auto publish(upstream_changes const& changes, changes_from source) -> void;
    auto publish(std::shared_ptr<routing::configuration const> offered) -> void;
    // Whether the configuration is read from the registry, without a failure since.
    auto set_reads_configuration(bool reads) -> void;
    // Followers may rely on this host until `until`.
    auto vouch(base::time_point until) -> void;
    // The registry is lost, or another host is followed: followers have to look elsewhere.
    auto withdraw() -> void;
    [[nodiscard]] auto is_valid(base::time_point now) const -> bool {
        return this->reading && this->reading_configuration && now < this->vouched_until;
    }
    [[nodiscard]] auto has_followers(base::time_point now) const -> bool {
        return now < this->asked_until;
    }

    // What is newer than the asker has, all in one; nothing new at `deadline`. Suspends the calling
    // fiber.
    [[nodiscard]] auto await(changes_question const& question, base::time_point deadline)
        -> changes_answer;

private:
    // Changes after `after`, or nothing if they are not all known.
    [[nodiscard]] auto since(registry_position after) const -> std::optional<upstream_changes>;
    [[nodiscard]] auto newer_than(routing::configuration_version asked) const
        -> std::shared_ptr<routing::configuration const>;

    std::deque<upstream_changes> kept;
    registry_position begins;
    registry_position newest;
    std::shared_ptr<routing::configuration const> configuration;
    bool reading = false;
    bool reading_configuration = false;
    base::time_point vouched_until = base::time_point::min();
    base::time_point asked_until = base::time_point::min();
    // Fibers of one worker; the mutex only serves the wait.
    std::mutex mutex;
    boost::fibers::condition_variable_any changed;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_REGISTRY_FEED_H_
