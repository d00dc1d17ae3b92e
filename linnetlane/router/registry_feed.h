// Relays the registry to other hosts: recent changes of the upstreams and the configuration, for
// the hosts that follow this one instead of reading the registry themselves.
//
// A host that is asked while it doesn't read the registry may be about to, since its followers can
// notice the loss of the previous relay first. It answers only if it still doesn't after a moment.
//
//   feed.restart(listing.position);                    // after a full listing
//   feed.publish(changes, change_source::registry);    // after each read of changes
//   feed.extend_validity(now + 1s);                    // after an answer of the registry
//   auto const answer = feed.await(question, deadline);

#ifndef LINNETLANE_ROUTER_REGISTRY_FEED_H_
#define LINNETLANE_ROUTER_REGISTRY_FEED_H_

#include <cstddef>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

#include <boost/fiber/condition_variable.hpp>

#include "linnetlane/base/time.h"
#include "linnetlane/router/messages.h"
#include "linnetlane/router/peer_codec.h"

namespace linnetlane::router {

// Where this host read changes.
enum class change_source { registry, peer };

// Not thread-safe; must be used on one worker only.
class registry_feed {
public:
    // The number of reads of changes that are kept: more than a minute at five reads per second.
    static constexpr auto max_history = std::size_t{512};
    // How long a host counts as a follower after its last request.
    static constexpr auto follower_window = std::chrono::seconds{3};
    // How long a question waits for this host to read the registry, from the moment at which it
    // doesn't.
    static constexpr auto takeover_time = std::chrono::milliseconds{300};

    // Starts over after a full listing at position `at`. Changes before it are not known.
    auto restart(registry_position at) -> void;
    // Adds changes. Changes from a peer are kept too, although the feed isn't valid while a peer is
    // followed: when the host reads the registry again, the history must be complete since its last
    // full listing.
    auto publish(upstream_changes const& changes, change_source source) -> void;
    // Sets the configuration in force.
    auto publish(std::shared_ptr<routing::configuration const> offered) -> void;
    // Sets whether this host reads the configuration from the registry and the last read succeeded.
    auto set_reads_configuration(bool reads) -> void;
    // Lets followers rely on this host until `until`.
    auto extend_validity(base::time_point until) -> void;
    // Makes the feed invalid, because the registry is unavailable or this host follows another one.
    auto invalidate() -> void;
    // Returns whether followers may rely on this host.
    [[nodiscard]] auto is_valid(base::time_point now) const -> bool {
        return this->reads_upstreams && this->reads_configuration && now < this->valid_until;
    }
    // Records that another host follows this one. Older hosts don't say which one they are.
    auto note_follower(std::optional<host_entry> const& host, base::time_point now) -> void;
    // Returns whether another host has followed this one recently.
    [[nodiscard]] auto has_followers(base::time_point now) const -> bool {
        return now < this->followed_until;
    }
    // Returns the hosts that have followed this one recently and stated who they are.
    [[nodiscard]] auto followers(base::time_point now) -> std::vector<host_entry>;
    // The position up to which changes are known.
    [[nodiscard]] auto position() const -> registry_position { return this->newest; }

    // Sets whether this host can't read the registry now, so that it is not about to read it.
    auto set_lost_registry(bool lost) -> void {
        this->lost_registry = lost;
        this->changed.notify_all();
    }
    // Sets the position of this host's facts that questions are answered for at once.
    auto set_facts(fact_mark const& mark) -> void {
        this->facts = mark;
        this->changed.notify_all();
    }
    // Waits for changes after the position in `question`, a newer configuration or further facts,
    // and returns all changes together. Returns an update without changes at `deadline`, or a
    // failure if the feed isn't valid or the changes are no longer known. For a question for all
    // upstreams, returns as soon as the feed is valid, with the configuration only. Suspends the
    // calling fiber.
    [[nodiscard]] auto await(changes_question const& question, base::time_point deadline)
        -> changes_answer;

private:
    // Returns the changes after `after`, or nothing if some are no longer known.
    [[nodiscard]] auto since(registry_position after) const -> std::optional<upstream_changes>;
    // Returns whether this host has facts that the requesting host doesn't know.
    [[nodiscard]] auto has_facts_for(changes_question const& question) const -> bool {
        return question.known_facts && (question.known_facts->process != this->facts.process ||
                                        question.known_facts->position < this->facts.position);
    }
    [[nodiscard]] auto configuration_newer_than(routing::configuration_version asked) const
        -> std::shared_ptr<routing::configuration const>;

    std::deque<upstream_changes> history;
    registry_position history_start;
    registry_position newest;
    std::shared_ptr<routing::configuration const> configuration;
    bool reads_upstreams = false;
    bool reads_configuration = false;
    bool lost_registry = false;
    fact_mark facts;
    base::time_point valid_until = base::time_point::min();
    base::time_point followed_until = base::time_point::min();
    struct follower {
        host_entry entry;
        base::time_point until;
    };
    std::map<base::host_id, follower> known_followers;
    // Required by the condition variable. All fibers run on one worker, so the mutex protects
    // nothing else.
    std::mutex mutex;
    boost::fibers::condition_variable_any changed;
};

}  // namespace linnetlane::router

#endif  // LINNETLANE_ROUTER_REGISTRY_FEED_H_
