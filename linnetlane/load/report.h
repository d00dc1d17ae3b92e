// Writes the results of a run as lines `name value`.

#ifndef LINNETLANE_LOAD_REPORT_H_
#define LINNETLANE_LOAD_REPORT_H_

#include <ostream>

#include "linnetlane/base/time.h"
#include "linnetlane/load/prefill_stats.h"
#include "linnetlane/load/summary.h"

namespace linnetlane::load {

// Writes the summary. `span` is the time during which requests arrived; rates are relative to it.
auto write_report(std::ostream& out, summary const& of, base::duration span) -> void;

// Writes the prefill statistics of the engines.
auto write_report(std::ostream& out, prefill_stats const& of) -> void;

}  // namespace linnetlane::load

#endif  // LINNETLANE_LOAD_REPORT_H_
