// Slopes of the capacity model: the cost of one unit of each kind of work, and the periods and
// counts that the code uses, read from docs/slopes.toml:
//
//   [probe_bytes]
//   value = 169
//   measured = true
//   source = "build/release/bin/slopes_benchmark"

#ifndef LINNETLANE_CTL_SLOPES_H_
#define LINNETLANE_CTL_SLOPES_H_

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/result.h"
#include "linnetlane/settings/toml_reader.h"

namespace linnetlane::ctl {

// Each enumerator is named after its key in the file. The suffix is the unit.
enum class slope {
    // Processor time.
    request_decision_us,
    grant_renewal_us,
    upstream_report_us,
    peer_message_us,
    document_us_per_kb,
    claim_us,
    engine_read_us,
    // Bytes on the wire between hosts, or to upstreams and the platform.
    acquire_bytes,
    grant_bytes,
    release_bytes,
    renew_message_bytes,
    renewal_bytes,
    upstream_report_bytes,
    probe_bytes,
    host_change_bytes,
    table_offer_bytes,
    document_mark_bytes,
    claim_bytes,
    engine_read_bytes,
    // Memory.
    control_base_memory_bytes,
    request_memory_bytes,
    grant_memory_bytes,
    upstream_memory_bytes,
    host_memory_bytes,
    claim_memory_bytes,
    // Size of the text of a document.
    document_base_text_bytes,
    upstream_text_bytes,
    caller_text_bytes,
    // Periods and counts set in the code.
    renew_period_s,
    upstream_report_period_s,
    probe_period_s,
    table_offer_period_s,
    distant_offer_period_s,
    document_compare_period_s,
    document_reread_period_s,
    document_fanout_count,
    claim_batch_period_s,
    claim_shards_count,
    claim_retention_s,
    order_lease_period_s,
    engine_read_period_s,
};

inline constexpr auto slope_count = static_cast<std::size_t>(slope::engine_read_period_s) + 1;

// Returns the key of `which` in the file.
[[nodiscard]] auto name_of(slope which) -> std::string_view;

struct slope_value {
    double value = 0;
    // False if the value is an estimate.
    bool measured = false;
    // The command that printed the value, or the header that defines it.
    std::string source;
};

// One value for each `slope`.
struct slope_table {
    std::array<slope_value, slope_count> values;

    [[nodiscard]] auto at(slope which) const -> slope_value const& {
        return this->values[static_cast<std::size_t>(which)];
    }
    [[nodiscard]] auto operator[](slope which) const -> double { return this->at(which).value; }
};

// Parses the text of the file. Fails with all errors if a slope is missing, unknown or invalid.
[[nodiscard]] auto parse_slopes(std::string_view text)
    -> base::result<slope_table, std::vector<settings::toml_problem>>;

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_SLOPES_H_
