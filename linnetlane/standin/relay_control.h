// HTTP control server of a relay process.
//
// POST /control {"port":N,"mode":"open"|"cut"|"cut_to_target"|"cut_to_client"|"stall",
// "delay_ms":N}: sets the state of one link, or of all links if there is no port. "unstall" is a
// synonym of "open".

#ifndef LINNETLANE_STANDIN_RELAY_CONTROL_H_
#define LINNETLANE_STANDIN_RELAY_CONTROL_H_

#include <memory>

#include "linnetlane/base/endpoint.h"
#include "linnetlane/runtime/http.h"
#include "linnetlane/runtime/worker_pool.h"
#include "linnetlane/standin/relay.h"

namespace linnetlane::standin {

// Starts the control server of `links`, which must outlive it.
[[nodiscard]] auto serve_relay_control(runtime::worker_pool& pool, base::endpoint const& address,
                                       relay& links) -> std::unique_ptr<runtime::http_server>;

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_RELAY_CONTROL_H_
