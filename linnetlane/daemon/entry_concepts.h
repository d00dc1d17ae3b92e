// The interfaces that request handling needs from the rest of the daemon.
//
// `cell_access` sends a request's questions to the keeper of a cell, on this host or another, and
// delivers the answers. `document_source` provides the documents in force.
//
//   access.open(service, request, [&mailbox](cell_answer answer) { mailbox.push(answer); });
//   access.acquire(service, ask);          // the sink gets a grant or a refusal
//   access.progress(cell::renewal{...});   // stored and sent with the host's next renewal
//   access.release(cell::release{...});    // exactly once for each attempt that was acquired
//   access.close(request);                 // the sink is not called after this returns

#ifndef LINNETLANE_DAEMON_ENTRY_CONCEPTS_H_
#define LINNETLANE_DAEMON_ENTRY_CONCEPTS_H_

#include <concepts>
#include <functional>
#include <memory>
#include <string_view>
#include <variant>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/time.h"
#include "linnetlane/cell/messages.h"
#include "linnetlane/service/document.h"

namespace linnetlane::daemon {

// The keeper was lost before it answered the attempt; no grant or refusal of it will come. Sent
// only for unanswered attempts: the cell access itself announces held grants to the next keeper.
struct keeper_lost {
    cell::attempt attempt;
};

// The keeper renewed the attempt's grant, which is now valid until `deadline`.
struct renewed {
    cell::attempt attempt;
    base::time_point deadline;
};

using cell_answer =
    std::variant<cell::grant, cell::decode_ready, cell::refuse, keeper_lost, renewed>;

// Receives the answers for one request. May be called from any thread; must not block.
using cell_sink = std::function<void(cell_answer const&)>;

// Thread-safe; no call blocks.
//
// - `open` routes the answers for all attempts of a request to its sink; `close` ends that.
// - `acquire` selects a cell of the service, fills in the holder and asks the cell's keeper. If
//   there is no keeper, the sink gets a `refuse` or `keeper_lost`, possibly before `acquire`
//   returns.
// - `progress` stores the progress of an attempt, which the host's next renewal reports.
// - `release` fills in the holder and sends the release to the keeper that was asked, or to its
//   successor, until one of them received it.
template <typename Access>
concept cell_access = requires(Access& access, base::service_id const& service,
                               base::request_id const& request, cell_sink sink,
                               cell::acquire const& ask, cell::renewal const& renewal,
                               cell::release const& release) {
    { access.open(service, request, sink) } -> std::same_as<void>;
    { access.acquire(service, ask) } -> std::same_as<void>;
    { access.progress(renewal) } -> std::same_as<void>;
    { access.release(release) } -> std::same_as<void>;
    { access.close(request) } -> std::same_as<void>;
};

// Thread-safe; no call blocks.
//
// - `find` returns the document in force of a service, or null if there is none or it was removed.
// - `find_route` returns the plain service with the longest route that is a prefix of `path`, or
//   null if there is none.
template <typename Source>
concept document_source = requires(Source const& source, base::service_id const& service,
                                   std::string_view path) {
    { source.find(service) } -> std::same_as<std::shared_ptr<service::document const>>;
    { source.find_route(path) } -> std::same_as<std::shared_ptr<service::document const>>;
};

}  // namespace linnetlane::daemon

#endif  // LINNETLANE_DAEMON_ENTRY_CONCEPTS_H_
