#include "linnetlane/claim/shard_log.h"

#include <algorithm>

namespace linnetlane::claim {

namespace {

auto key_of(record const& stored) -> shard_log::record_key {
    return {stored.service, stored.key};
}

auto is_retained(wall_time keep_until, wall_time wall, limits const& bounds) -> bool {
    return wall < keep_until + bounds.clock_margin;
}

}  // namespace

auto shard_log::parse(shard_number shard, std::vector<coordination::entry> const& entries)
    -> std::optional<shard_log> {
    auto log = shard_log{};
    for (auto const& entry : entries) {
        if (entry.key == head_key(shard)) {
            auto const head = parse_head(entry.value);
            if (!head) {
                return std::nullopt;
            }
            log.current_head = *head;
            log.head_revision = entry.modified;
            continue;
        }
        auto const number = segment_of_key(shard, entry.key);
        auto const records = parse_records(entry.value);
        if (!number || !records) {
            return std::nullopt;
        }
        for (auto const& stored : *records) {
            log.add(*number, stored);
        }
    }
    return log;
}

auto shard_log::find(record_key const& key, wall_time wall, limits const& bounds) const
    -> record const* {
    auto const found = this->latest_records.find(key);
    if (found == this->latest_records.end()) {
        return nullptr;
    }
    auto const [number, place] = found->second;
    auto const& stored = this->segments.at(number).records[place];
    return is_retained(stored.keep_until, wall, bounds) ? &stored : nullptr;
}

auto shard_log::make_write(shard_number shard, std::vector<record> const& updates,
                           std::string write_id, wall_time wall, limits const& bounds) const
    -> coordination::compare_and_swap {
    auto const open = this->next_open_segment(bounds);
    auto records = std::vector<record>{};
    if (auto const found = this->segments.find(open); found != this->segments.end()) {
        records = found->second.records;
    }
    records.insert(records.end(), updates.begin(), updates.end());
    auto write = coordination::compare_and_swap{};
    write.key = head_key(shard);
    write.expected = this->head_revision;
    write.value = to_value(shard_head{this->current_head.sequence + 1, open, std::move(write_id)});
    write.extra.push_back({segment_key(shard, open), to_value(records)});
    for (auto const number : this->expired_segments(wall, bounds)) {
        write.extra.push_back({segment_key(shard, number), std::nullopt});
    }
    return write;
}

auto shard_log::commit(std::vector<record> const& updates, std::string write_id,
                       coordination::revision at, wall_time wall, limits const& bounds) -> void {
    auto const open = this->next_open_segment(bounds);
    for (auto const number : this->expired_segments(wall, bounds)) {
        this->remove(number);
    }
    this->current_head = shard_head{this->current_head.sequence + 1, open, std::move(write_id)};
    this->head_revision = at;
    for (auto const& stored : updates) {
        this->add(open, stored);
    }
}

auto shard_log::missing_records(shard_log const& earlier) const -> std::vector<record> {
    auto missing = std::vector<record>{};
    for (auto const& [key, place] : earlier.latest_records) {
        if (!this->latest_records.contains(key)) {
            missing.push_back(earlier.segments.at(place.first).records[place.second]);
        }
    }
    return missing;
}

auto shard_log::bytes_after_write(wall_time wall, limits const& bounds) const -> std::size_t {
    auto total = std::size_t{0};
    for (auto const& [number, each] : this->segments) {
        total += each.bytes;
    }
    for (auto const number : this->expired_segments(wall, bounds)) {
        total -= this->segments.at(number).bytes;
    }
    return total;
}

auto shard_log::next_open_segment(limits const& bounds) const -> std::uint64_t {
    auto const found = this->segments.find(this->current_head.open_segment);
    auto const full = found != this->segments.end() && found->second.bytes >= bounds.segment_bytes;
    return this->current_head.open_segment + (full ? 1 : 0);
}

// The open segment is excluded, so that a write never removes the segment that it extends.
auto shard_log::expired_segments(wall_time wall, limits const& bounds) const
    -> std::vector<std::uint64_t> {
    auto expired = std::vector<std::uint64_t>{};
    for (auto const& [number, each] : this->segments) {
        if (number < this->current_head.open_segment &&
            !is_retained(each.keep_until, wall, bounds)) {
            expired.push_back(number);
        }
    }
    return expired;
}

auto shard_log::add(std::uint64_t number, record const& stored) -> void {
    auto& target = this->segments[number];
    auto const place = std::pair{number, target.records.size()};
    target.records.push_back(stored);
    target.bytes += max_serialized_size(stored);
    target.keep_until = std::max(target.keep_until, stored.keep_until);
    // Segments may be added in any order; the latest record of a key wins.
    auto& latest = this->latest_records.try_emplace(key_of(stored), place).first->second;
    latest = std::max(latest, place);
}

auto shard_log::remove(std::uint64_t number) -> void {
    auto const& records = this->segments.at(number).records;
    for (auto place = std::size_t{0}; place < records.size(); ++place) {
        auto const found = this->latest_records.find(key_of(records[place]));
        if (found != this->latest_records.end() && found->second == std::pair{number, place}) {
            this->latest_records.erase(found);
        }
    }
    this->segments.erase(number);
}

}  // namespace linnetlane::claim
