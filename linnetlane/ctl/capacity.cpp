#include "linnetlane/ctl/capacity.h"

#include <algorithm>

namespace linnetlane::ctl {

namespace {

constexpr auto seconds_per_day = 86'400.0;
constexpr auto microseconds = 1e-6;
constexpr auto bytes_per_kb = 1000.0;
constexpr auto readers_per_data_centre = 2.0;
constexpr auto contacts_per_data_centre = 2.0;
constexpr auto probes_per_period = 2.0;
constexpr auto changes_per_probe = 6.0;
// A ping and an ack, each counted at its sender and its receiver.
constexpr auto messages_per_probe = 4.0;

// Quantities derived from the deployment size, per host unless stated otherwise.
struct rates {
    double requests = 0;
    // Requests in progress.
    double running = 0;
    // Cells in the data centre from which a host holds grants.
    double cells_used = 0;
    // Cells per keeper.
    double cells_kept = 0;
    // Requests per second of the cells that a keeper keeps.
    double kept_requests = 0;
    // Grants in the ledgers of a keeper.
    double kept_grants = 0;
    // Upstreams of the cells that a keeper keeps.
    double kept_upstreams = 0;
    double hosts_per_data_centre = 0;
    // Document changes per second in the whole deployment.
    double changes = 0;
    double document_bytes = 0;
    // Membership changes per second in the whole deployment.
    double host_changes = 0;
    // Claims per second in the whole deployment.
    double claims = 0;
};

auto document_bytes(deployment_size const& size, slope_table const& slopes) -> double {
    auto const upstreams = size.upstreams / size.services;
    return slopes[slope::document_base_text_bytes] +
           upstreams * slopes[slope::upstream_text_bytes] +
           size.callers * slopes[slope::caller_text_bytes];
}

auto derive_rates(deployment_size const& size, slope_table const& slopes) -> rates {
    auto result = rates{};
    auto const answer_seconds =
        size.output_tokens_per_second / size.requests_per_second * size.seconds_between_tokens;
    auto const cells = std::max(1.0, size.upstreams / size.upstreams_per_cell);
    auto const running = size.requests_per_second * answer_seconds;
    result.requests = size.requests_per_second / size.hosts;
    result.running = running / size.hosts;
    result.cells_used = std::min(result.running, std::max(1.0, cells / size.data_centres));
    result.cells_kept = std::max(1.0, cells / size.hosts);
    result.kept_requests = size.requests_per_second / cells * result.cells_kept;
    result.kept_grants = running / cells * result.cells_kept;
    result.kept_upstreams = size.upstreams / cells * result.cells_kept;
    result.hosts_per_data_centre = size.hosts / size.data_centres;
    result.changes = size.changes_per_day / seconds_per_day;
    result.document_bytes = document_bytes(size, slopes);
    // A restart is two changes: one leave and one join.
    result.host_changes =
        (size.hosts_failing_per_day + 2 * size.hosts_restarted_per_day) / seconds_per_day;
    result.claims = size.requests_per_second * size.keyed_share;
    return result;
}

// Converts microseconds of processor time per second to a fraction of one core.
auto to_cores(double busy_microseconds) -> double {
    return busy_microseconds * microseconds;
}

auto entry_terms(rates const& rate, slope_table const& slopes) -> std::vector<control_term> {
    auto const messages = 3 * rate.requests;
    auto const renewals = rate.cells_used / slopes[slope::renew_period_s];
    return {
        {"entry",
         "acquire, grant, release",
         "one message each to the cell's keeper",
         messages,
         rate.requests * (slopes[slope::acquire_bytes] + slopes[slope::grant_bytes] +
                          slopes[slope::release_bytes]),
         to_cores(messages * slopes[slope::peer_message_us]),
         rate.running * slopes[slope::request_memory_bytes],
         {slope::acquire_bytes, slope::grant_bytes, slope::release_bytes, slope::peer_message_us,
          slope::request_memory_bytes}},
        {"entry",
         "renewals of grants",
         "one message per period for each cell used",
         2 * renewals,
         2 * renewals * slopes[slope::renew_message_bytes] +
             rate.running / slopes[slope::renew_period_s] * slopes[slope::renewal_bytes],
         to_cores(2 * renewals * slopes[slope::peer_message_us]),
         0,
         {slope::renew_period_s, slope::renew_message_bytes, slope::renewal_bytes,
          slope::peer_message_us}},
    };
}

auto keeper_terms(rates const& rate, slope_table const& slopes) -> std::vector<control_term> {
    auto const messages = 3 * rate.kept_requests;
    auto const renew_messages =
        2 * rate.cells_kept * rate.hosts_per_data_centre / slopes[slope::renew_period_s];
    auto const renewals = rate.kept_grants / slopes[slope::renew_period_s];
    auto const reports = rate.kept_upstreams / slopes[slope::upstream_report_period_s];
    return {
        {"keeper",
         "decisions",
         "the cell's scheduler, in memory",
         messages,
         rate.kept_requests * (slopes[slope::acquire_bytes] + slopes[slope::grant_bytes] +
                               slopes[slope::release_bytes]),
         to_cores(rate.kept_requests * slopes[slope::request_decision_us] +
                  messages * slopes[slope::peer_message_us]),
         rate.kept_grants * slopes[slope::grant_memory_bytes],
         {slope::acquire_bytes, slope::grant_bytes, slope::release_bytes,
          slope::request_decision_us, slope::peer_message_us, slope::grant_memory_bytes}},
        {"keeper",
         "renewals of grants",
         "deadlines extended in the ledger",
         renew_messages,
         renew_messages * slopes[slope::renew_message_bytes] +
             renewals * slopes[slope::renewal_bytes],
         to_cores(renew_messages * slopes[slope::peer_message_us] +
                  renewals * slopes[slope::grant_renewal_us]),
         0,
         {slope::renew_period_s, slope::renew_message_bytes, slope::renewal_bytes,
          slope::peer_message_us, slope::grant_renewal_us}},
        {"keeper",
         "load reports of upstreams",
         "read by the keeper only",
         reports,
         reports * slopes[slope::upstream_report_bytes],
         to_cores(reports * slopes[slope::upstream_report_us]),
         rate.kept_upstreams * slopes[slope::upstream_memory_bytes],
         {slope::upstream_report_period_s, slope::upstream_report_bytes, slope::upstream_report_us,
          slope::upstream_memory_bytes}},
    };
}

auto member_terms(deployment_size const& size, rates const& rate, slope_table const& slopes)
    -> std::vector<control_term> {
    auto const probes = probes_per_period / slopes[slope::probe_period_s];
    auto const messages = messages_per_probe * probes;
    // Each host piggybacks a change on a fixed number of messages, independent of the number of
    // hosts.
    auto const changes = rate.host_changes * changes_per_probe;
    auto const offers = 2 / slopes[slope::table_offer_period_s];
    auto const remote_offers = 2 * contacts_per_data_centre * (size.data_centres - 1) /
                               slopes[slope::distant_offer_period_s] / rate.hosts_per_data_centre;
    return {
        {"member",
         "probes",
         "ping and ack to a few neighbours, never a full mesh",
         messages,
         messages * slopes[slope::probe_bytes] + changes * slopes[slope::host_change_bytes],
         to_cores(messages * slopes[slope::peer_message_us]),
         size.hosts * slopes[slope::host_memory_bytes],
         {slope::probe_period_s, slope::probe_bytes, slope::host_change_bytes,
          slope::peer_message_us, slope::host_memory_bytes}},
        {"member",
         "comparing tables",
         "hashes only, within and between data centres",
         offers + remote_offers,
         (offers + remote_offers) * slopes[slope::table_offer_bytes],
         to_cores((offers + remote_offers) * slopes[slope::peer_message_us]),
         0,
         {slope::table_offer_period_s, slope::distant_offer_period_s, slope::table_offer_bytes,
          slope::peer_message_us}},
    };
}

auto reader_terms(deployment_size const& size, rates const& rate, slope_table const& slopes)
    -> std::vector<control_term> {
    auto const comparisons = 2 / slopes[slope::document_compare_period_s];
    auto const offers = rate.changes * slopes[slope::document_fanout_count] * 2;
    // On average every host receives each new version once and forwards it once.
    auto const transferred_bytes = 2 * rate.changes * rate.document_bytes;
    auto const reread_bytes =
        rate.document_bytes * size.services / slopes[slope::document_reread_period_s];
    return {
        {"reader",
         "documents moved",
         "marks are offered; each host gets each text once",
         offers + 2 * rate.changes,
         offers * slopes[slope::document_mark_bytes] + transferred_bytes,
         to_cores((offers + 2 * rate.changes) * slopes[slope::peer_message_us] +
                  rate.changes * rate.document_bytes / bytes_per_kb *
                      slopes[slope::document_us_per_kb]),
         // The text, and about the same amount again for the parsed form.
         2 * size.services * rate.document_bytes,
         {slope::document_fanout_count, slope::document_mark_bytes, slope::peer_message_us,
          slope::document_us_per_kb, slope::document_base_text_bytes, slope::upstream_text_bytes,
          slope::caller_text_bytes}},
        {"reader",
         "documents compared",
         "marks of all services, periodically",
         comparisons,
         comparisons * size.services * slopes[slope::document_mark_bytes],
         to_cores(comparisons * slopes[slope::peer_message_us]),
         0,
         {slope::document_compare_period_s, slope::document_mark_bytes, slope::peer_message_us}},
        {"reader",
         "platform read again",
         "by the two readers of a data centre",
         1 / slopes[slope::document_reread_period_s],
         reread_bytes,
         to_cores(reread_bytes / bytes_per_kb * slopes[slope::document_us_per_kb]),
         0,
         {slope::document_reread_period_s, slope::document_us_per_kb,
          slope::document_base_text_bytes, slope::upstream_text_bytes, slope::caller_text_bytes}},
    };
}

// Platform writes per second for claims: at most one write per shard and batch period.
auto claim_writes(rates const& rate, slope_table const& slopes) -> double {
    auto const max_batches_per_second =
        slopes[slope::claim_shards_count] / slopes[slope::claim_batch_period_s];
    // Each claim is written twice: when it is made and when it is settled.
    return std::min(2 * rate.claims, max_batches_per_second);
}

auto claim_terms(deployment_size const& size, rates const& rate, slope_table const& slopes)
    -> std::vector<control_term> {
    auto const keepers = std::min(size.hosts, slopes[slope::claim_shards_count]);
    auto const claims = rate.claims / keepers;
    // A request and an answer each for making and for settling the claim.
    auto const messages = 4 * claims;
    return {{"claim keeper",
             "claims",
             "batched per shard, one compare-and-swap per batch",
             messages,
             messages * slopes[slope::claim_bytes],
             to_cores(claims * slopes[slope::claim_us] + messages * slopes[slope::peer_message_us]),
             claims * slopes[slope::claim_retention_s] * slopes[slope::claim_memory_bytes],
             {slope::claim_shards_count, slope::claim_bytes, slope::claim_us,
              slope::peer_message_us, slope::claim_retention_s, slope::claim_memory_bytes}}};
}

auto order_terms(deployment_size const& size, slope_table const& slopes)
    -> std::vector<control_term> {
    auto const pools = size.services * size.data_centres;
    auto const upstreams = size.upstreams / std::min(pools, size.hosts);
    auto const reads = upstreams / slopes[slope::engine_read_period_s];
    return {{"order giver",
             "engines read",
             "by the holder of the pool's lease only",
             reads,
             reads * slopes[slope::engine_read_bytes],
             to_cores(reads * slopes[slope::engine_read_us]),
             0,
             {slope::engine_read_period_s, slope::engine_read_bytes, slope::engine_read_us}}};
}

auto platform_terms(deployment_size const& size, rates const& rate, slope_table const& slopes)
    -> std::vector<platform_term> {
    auto const readers = readers_per_data_centre * size.data_centres;
    auto const pools = size.services * size.data_centres;
    return {
        {"documents",
         rate.changes + readers / slopes[slope::document_reread_period_s],
         rate.changes,
         readers,
         {slope::document_reread_period_s}},
        {"claims",
         0,
         claim_writes(rate, slopes),
         0,
         {slope::claim_shards_count, slope::claim_batch_period_s}},
        {"orders",
         0,
         pools / slopes[slope::order_lease_period_s],
         0,
         {slope::order_lease_period_s}},
    };
}

template <typename Element>
auto append(std::vector<Element>& target, std::vector<Element> const& source) -> void {
    target.insert(target.end(), source.begin(), source.end());
}

}  // namespace

auto estimate_control_load(deployment_size const& size, slope_table const& slopes) -> control_load {
    auto const rate = derive_rates(size, slopes);
    auto load = control_load{};
    load.terms.push_back({"all",
                          "fixed part",
                          "tables and buffers of an idle host",
                          0,
                          0,
                          0,
                          slopes[slope::control_base_memory_bytes],
                          {slope::control_base_memory_bytes}});
    append(load.terms, entry_terms(rate, slopes));
    append(load.terms, keeper_terms(rate, slopes));
    append(load.terms, member_terms(size, rate, slopes));
    append(load.terms, reader_terms(size, rate, slopes));
    append(load.terms, claim_terms(size, rate, slopes));
    append(load.terms, order_terms(size, slopes));
    load.platform = platform_terms(size, rate, slopes);
    return load;
}

auto total_of(std::vector<control_term> const& terms) -> control_term {
    auto sum = control_term{};
    sum.role = "sum";
    for (auto const& term : terms) {
        sum.messages_per_second += term.messages_per_second;
        sum.bytes_per_second += term.bytes_per_second;
        sum.cores += term.cores;
        sum.memory_bytes += term.memory_bytes;
        append(sum.used, term.used);
    }
    return sum;
}

auto total_of(std::vector<platform_term> const& terms) -> platform_term {
    auto sum = platform_term{};
    sum.name = "sum";
    for (auto const& term : terms) {
        sum.reads_per_second += term.reads_per_second;
        sum.writes_per_second += term.writes_per_second;
        sum.watches += term.watches;
        append(sum.used, term.used);
    }
    return sum;
}

auto unmeasured_slopes(std::vector<slope> const& used, slope_table const& slopes)
    -> std::vector<std::string_view> {
    auto names = std::vector<std::string_view>{};
    for (auto const which : used) {
        if (!slopes.at(which).measured) {
            names.push_back(name_of(which));
        }
    }
    std::sort(names.begin(), names.end());
    names.erase(std::unique(names.begin(), names.end()), names.end());
    return names;
}

}  // namespace linnetlane::ctl
