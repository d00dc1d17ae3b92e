// A run's summary as lines `name value`, for scripts and eyes.

#ifndef LINNETLANE_LOAD_REPORT_H_
#define LINNETLANE_LOAD_REPORT_H_

#include <ostream>

#include "linnetlane/base/time.h"
#include "linnetlane/load/prefill_stats.h"
#include "linnetlane/load/summary.h"

namespace linnetlane::load {

// Rates are over `span`, the time in which requests arrived.
auto write_report(std::ostream& out, summary const& of, base::duration span) -> void;

auto write_report(std::ostream& out, prefill_figures const& of) -> void;

}  // namespace linnetlane::load

#endif  // LINNETLANE_LOAD_REPORT_H_
