// The event log of a host: one line per event, as text or JSON, with typed fields only.
//
//   auto log = event_log{settings.log, {settings.host, settings.data_centre}};
//   log.write(log_level::info, "request refused", {request, attempt, {"reason", "overloaded"}});
//
// A line below the log's level costs one comparison.

#ifndef LINNETLANE_TELEMETRY_LOG_H_
#define LINNETLANE_TELEMETRY_LOG_H_

#include <initializer_list>
#include <memory>

#include <spdlog/fwd.h>

#include "linnetlane/base/ids.h"
#include "linnetlane/settings/settings.h"
#include "linnetlane/telemetry/field.h"

namespace linnetlane::telemetry {

using settings::log_level;

// The host that writes; part of each log line and each exported span.
struct origin {
    base::host_id host;
    base::data_centre_id data_centre;
};

// Thread-safe.
class event_log {
public:
    // Writes to standard error.
    event_log(settings::log_settings const& chosen, origin const& source);
    // Writes to `sink`.
    event_log(settings::log_settings const& chosen, origin const& source,
              std::shared_ptr<spdlog::sinks::sink> sink);

    // Writes one line for `event`.
    auto write(log_level level, literal event, std::initializer_list<field> fields) const -> void;
    // Returns whether lines of `level` are written.
    [[nodiscard]] auto writes(log_level level) const -> bool;

private:
    settings::log_format format;
    std::shared_ptr<spdlog::logger> logger;
};

}  // namespace linnetlane::telemetry

#endif  // LINNETLANE_TELEMETRY_LOG_H_
