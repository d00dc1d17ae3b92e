#include "linnetlane/membership/host_table.h"

#include <xxhash.h>

#include <set>

namespace linnetlane::membership {

namespace {

auto is_gone(host_record const& record) -> bool {
    return record.liveness == liveness::gone;
}

// What changed from `known` to the newer `record` of the same incarnation.
auto difference(host_record const& known, host_record const& record) -> merge_result {
    if (is_gone(record)) {
        return merge_result::gone;
    }
    if (record.leaving != known.leaving) {
        return merge_result::leaving;
    }
    if (record.ready != known.ready) {
        return merge_result::readiness;
    }
    if (record.liveness == known.liveness) {
        return merge_result::refreshed;
    }
    auto const suspected = record.liveness == liveness::suspected;
    return suspected ? merge_result::suspected : merge_result::refuted;
}

// Hashes only what all hosts eventually agree on, which leaves out suspicions and digests of
// documents.
auto stable_hash(host_record const& record) -> std::uint64_t {
    auto const flags = (record.leaving ? 2U : 0U) + (record.ready ? 1U : 0U);
    auto const seed = (record.incarnation.value * 4U) + flags;
    return XXH3_64bits_withSeed(record.host.value.data(), record.host.value.size(), seed);
}

}  // namespace

auto supersedes(host_record const& candidate, host_record const& known) -> bool {
    if (candidate.incarnation != known.incarnation) {
        return candidate.incarnation > known.incarnation;
    }
    if (is_gone(candidate) != is_gone(known)) {
        return is_gone(candidate);
    }
    if (candidate.revision != known.revision) {
        return candidate.revision > known.revision;
    }
    return candidate.liveness > known.liveness;
}

auto host_table::merge(host_record const& record, base::time_point now) -> merge_result {
    auto const found = this->rows.find(record.host);
    if (found == this->rows.end()) {
        if (is_gone(record)) {
            return merge_result::stale;
        }
        this->rows.emplace(record.host, row{record, now});
        return merge_result::joined;
    }
    auto& known = found->second;
    if (!supersedes(record, known.record)) {
        return merge_result::stale;
    }
    auto const new_incarnation = record.incarnation != known.record.incarnation;
    auto result = difference(known.record, record);
    if (new_incarnation) {
        result = is_gone(record) ? merge_result::gone : merge_result::joined;
    }
    known = row{record, now};
    return result;
}

auto host_table::find(base::host_id const& host) const -> host_record const* {
    auto const found = this->rows.find(host);
    return found == this->rows.end() ? nullptr : &found->second.record;
}

auto host_table::records_of(base::data_centre_id const& data_centre) const
    -> std::vector<host_record> {
    auto records = std::vector<host_record>{};
    for (auto const& [host, kept] : this->rows) {
        if (kept.record.data_centre == data_centre) {
            records.push_back(kept.record);
        }
    }
    return records;
}

template <typename Test>
auto host_table::hosts_where(Test test) const -> std::vector<base::host_id> {
    auto hosts = std::vector<base::host_id>{};
    for (auto const& [host, kept] : this->rows) {
        if (!is_gone(kept.record) && test(kept.record)) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

auto host_table::present_in(base::data_centre_id const& data_centre) const
    -> std::vector<base::host_id> {
    return this->hosts_where(
        [&](host_record const& record) { return record.data_centre == data_centre; });
}

auto host_table::not_leaving_in(base::data_centre_id const& data_centre) const
    -> std::vector<base::host_id> {
    return this->hosts_where([&](host_record const& record) {
        return record.data_centre == data_centre && !record.leaving;
    });
}

auto host_table::eligible_in(base::data_centre_id const& data_centre) const
    -> std::vector<base::host_id> {
    return this->hosts_where([&](host_record const& record) {
        return record.data_centre == data_centre && !record.leaving && record.ready;
    });
}

auto host_table::data_centres() const -> std::vector<base::data_centre_id> {
    auto known = std::set<base::data_centre_id>{};
    for (auto const& [host, kept] : this->rows) {
        known.insert(kept.record.data_centre);
    }
    return {known.begin(), known.end()};
}

auto host_table::digest_of(base::data_centre_id const& data_centre) const -> std::uint64_t {
    auto digest = std::uint64_t{0};
    for (auto const& [host, kept] : this->rows) {
        if (kept.record.data_centre == data_centre && !is_gone(kept.record)) {
            digest += stable_hash(kept.record);
        }
    }
    return digest;
}

auto host_table::remove_gone(base::time_point horizon) -> void {
    std::erase_if(this->rows, [&](auto const& entry) {
        return is_gone(entry.second.record) && entry.second.changed_at < horizon;
    });
}

}  // namespace linnetlane::membership
