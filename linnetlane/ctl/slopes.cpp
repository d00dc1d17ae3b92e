#include "linnetlane/ctl/slopes.h"

#include <utility>

namespace linnetlane::ctl {

namespace {

// Indexed by `slope`.
constexpr auto slope_names = std::array<std::string_view, slope_count>{
    "request_decision_us",
    "grant_renewal_us",
    "upstream_report_us",
    "peer_message_us",
    "document_us_per_kb",
    "claim_us",
    "engine_read_us",
    "acquire_bytes",
    "grant_bytes",
    "release_bytes",
    "renew_message_bytes",
    "renewal_bytes",
    "upstream_report_bytes",
    "probe_bytes",
    "host_change_bytes",
    "table_offer_bytes",
    "document_mark_bytes",
    "claim_bytes",
    "engine_read_bytes",
    "control_base_memory_bytes",
    "request_memory_bytes",
    "grant_memory_bytes",
    "upstream_memory_bytes",
    "host_memory_bytes",
    "claim_memory_bytes",
    "document_base_text_bytes",
    "upstream_text_bytes",
    "caller_text_bytes",
    "renew_period_s",
    "upstream_report_period_s",
    "probe_period_s",
    "table_offer_period_s",
    "distant_offer_period_s",
    "document_compare_period_s",
    "document_reread_period_s",
    "document_fanout_count",
    "claim_batch_period_s",
    "claim_shards_count",
    "claim_retention_s",
    "order_lease_period_s",
    "engine_read_period_s",
};

auto read_slope(settings::toml_reader& reader, std::string_view name, slope_value& target) -> void {
    reader.expect(name);
    reader.read_table(name, [&target](settings::toml_reader& inner) {
        if (inner.require("value", target.value) && target.value < 0) {
            inner.report(settings::toml_fault::out_of_bounds, "value", "expected 0 or more");
        }
        inner.require("measured", target.measured);
        inner.require("source", target.source);
    });
}

}  // namespace

auto name_of(slope which) -> std::string_view {
    return slope_names[static_cast<std::size_t>(which)];
}

auto parse_slopes(std::string_view text)
    -> base::result<slope_table, std::vector<settings::toml_problem>> {
    auto const table = settings::parse_toml(text);
    if (auto const* problem = base::failure_of(table)) {
        return std::vector{*problem};
    }
    auto findings = settings::toml_diagnostics{};
    auto reader = settings::toml_reader{base::value_of(table), "", findings};
    auto result = slope_table{};
    for (auto index = std::size_t{0}; index < slope_count; ++index) {
        read_slope(reader, slope_names[index], result.values[index]);
    }
    reader.finish();
    if (!findings.problems.empty()) {
        return std::move(findings.problems);
    }
    return result;
}

}  // namespace linnetlane::ctl
