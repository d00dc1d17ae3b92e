#include "linnetlane/load/report.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

namespace linnetlane::load {

namespace {

auto share(std::int64_t part, std::int64_t whole) -> double {
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

auto write_percentiles(std::ostream& out, char const* name, percentiles const& of) -> void {
    fmt::print(out, "{0}_p50_s {1:.4f}\n{0}_p95_s {2:.4f}\n{0}_p99_s {3:.4f}\n", name, of.p50,
               of.p95, of.p99);
}

auto write_quarter(std::ostream& out, summary const& of, std::size_t quarter) -> void {
    auto const& counts = of.quarters.at(quarter);
    auto const number = quarter + 1;
    fmt::print(out, "quarter_{}_requests {}\n", number, counts.requests);
    fmt::print(out, "quarter_{}_good_share {:.4f}\n", number, share(counts.good, counts.requests));
    fmt::print(out, "quarter_{}_refused_share {:.4f}\n", number,
               share(counts.refused, counts.requests));
    for (auto const& [type, count] : of.refusals_by_quarter.at(quarter)) {
        fmt::print(out, "quarter_{}_failed_{} {}\n", number, type, count);
    }
}

}  // namespace

auto write_report(std::ostream& out, summary const& of, base::duration span) -> void {
    auto const seconds = base::to_seconds(span);
    fmt::print(out, "requests {}\n", of.all.requests);
    fmt::print(out, "tries {}\n", of.tries);
    for (auto const& [end, count] : of.ends) {
        fmt::print(out, "ended_{} {}\n", name_of(end), count);
    }
    for (auto const& [type, count] : of.refusals) {
        fmt::print(out, "failed_{} {}\n", type, count);
    }
    fmt::print(out, "offered_per_s {:.2f}\n", static_cast<double>(of.all.requests) / seconds);
    fmt::print(out, "goodput_per_s {:.2f}\n", static_cast<double>(of.all.good) / seconds);
    fmt::print(out, "goodput_tokens_per_s {:.0f}\n",
               static_cast<double>(of.all.good_tokens) / seconds);
    fmt::print(out, "good_share {:.4f}\n", share(of.all.good, of.all.requests));
    fmt::print(out, "good_token_share {:.4f}\n", share(of.all.good_tokens, of.all.tokens));
    write_percentiles(out, "ttft", of.first_token);
    write_percentiles(out, "batch_ttft", of.batch_first_token);
    write_percentiles(out, "itl", of.between_tokens);
    for (auto quarter = std::size_t{0}; quarter < of.quarters.size(); ++quarter) {
        write_quarter(out, of, quarter);
    }
}

auto write_report(std::ostream& out, prefill_stats const& of) -> void {
    fmt::print(out, "prefilled_tokens {}\n", of.prefilled);
    fmt::print(out, "wasted_tokens {}\n", of.wasted);
    fmt::print(out, "wasted_share {:.4f}\n", of.wasted_share());
    fmt::print(out, "local_prefilled_tokens {}\n", of.local_prefilled);
    fmt::print(out, "over_grant_waits {}\n", of.over_grant_waits);
    fmt::print(out, "silent_engines {}\n", of.unresponsive_engines);
}

}  // namespace linnetlane::load
