#include "linnetlane/claim/record.h"

#include <fmt/core.h>
#include <xxhash.h>

#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

namespace linnetlane::claim {

namespace {

using nlohmann::json;

constexpr auto state_count = std::uint64_t{4};

// Keys and answers are arbitrary bytes, which JSON strings can't hold; they are stored as
// hexadecimal digits.
auto to_hexadecimal(std::string_view bytes) -> std::string {
    auto text = std::string{};
    text.reserve(bytes.size() * 2);
    for (auto const byte : bytes) {
        text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
    }
    return text;
}

auto from_hexadecimal(std::string const& text) -> std::string {
    auto bytes = std::string{};
    bytes.reserve(text.size() / 2);
    for (auto place = std::size_t{0}; place + 1 < text.size(); place += 2) {
        auto byte = 0;
        std::from_chars(text.data() + place, text.data() + place + 2, byte, 16);
        bytes += static_cast<char>(byte);
    }
    return bytes;
}

auto to_json(record const& stored) -> json {
    auto row = json{{"s", stored.service.value},
                    {"k", to_hexadecimal(stored.key.value)},
                    {"h", stored.claimant.host.value},
                    {"i", stored.claimant.incarnation.value},
                    {"n", stored.claimant.number.value},
                    {"t", static_cast<std::uint64_t>(stored.state)},
                    {"u", stored.keep_until.time_since_epoch().count()}};
    if (stored.answer) {
        row["a"] = json{stored.answer->status, to_hexadecimal(stored.answer->content_type),
                        to_hexadecimal(stored.answer->body)};
    }
    return row;
}

auto has_shape(json const& row) -> bool {
    auto const is = [&](char const* name, auto kind) {
        return row.contains(name) && (row[name].*kind)();
    };
    return row.is_object() && is("s", &json::is_string) && is("k", &json::is_string) &&
           is("h", &json::is_string) && is("i", &json::is_number_unsigned) &&
           is("n", &json::is_number_unsigned) && is("t", &json::is_number_unsigned) &&
           row["t"].get<std::uint64_t>() < state_count && is("u", &json::is_number_integer);
}

auto is_answer(json const& row) -> bool {
    return row.is_array() && row.size() == 3 && row[0].is_number_integer() && row[1].is_string() &&
           row[2].is_string();
}

auto from_json(json const& row) -> std::optional<record> {
    if (!has_shape(row)) {
        return std::nullopt;
    }
    auto stored = record{};
    stored.service = {row["s"].get<std::string>()};
    stored.key = {from_hexadecimal(row["k"].get<std::string>())};
    stored.claimant = {{row["h"].get<std::string>()},
                       {row["i"].get<std::uint64_t>()},
                       {row["n"].get<std::uint64_t>()}};
    stored.state = static_cast<claim_state>(row["t"].get<std::uint64_t>());
    stored.keep_until = wall_time{std::chrono::milliseconds{row["u"].get<std::int64_t>()}};
    if (row.contains("a")) {
        auto const& answer = row["a"];
        if (!is_answer(answer)) {
            return std::nullopt;
        }
        stored.answer = stored_answer{answer[0].get<std::int32_t>(),
                                      from_hexadecimal(answer[1].get<std::string>()),
                                      from_hexadecimal(answer[2].get<std::string>())};
    }
    return stored;
}

}  // namespace

auto shard_of(base::service_id const& service, base::idempotency_key const& key,
              std::uint64_t shards) -> shard_number {
    auto const seed = XXH3_64bits(service.value.data(), service.value.size());
    return {XXH3_64bits_withSeed(key.value.data(), key.value.size(), seed) % shards};
}

auto shard_prefix(shard_number shard) -> std::string {
    return fmt::format("claims/{:06}/", shard.value);
}

auto head_key(shard_number shard) -> std::string {
    return shard_prefix(shard) + "head";
}

auto segment_key(shard_number shard, std::uint64_t segment) -> std::string {
    return fmt::format("{}segment/{:012}", shard_prefix(shard), segment);
}

auto segment_of_key(shard_number shard, std::string_view key) -> std::optional<std::uint64_t> {
    auto const prefix = shard_prefix(shard) + "segment/";
    if (!key.starts_with(prefix)) {
        return std::nullopt;
    }
    auto const digits = key.substr(prefix.size());
    auto number = std::uint64_t{0};
    auto const end = digits.data() + digits.size();
    auto const parsed = std::from_chars(digits.data(), end, number);
    if (digits.empty() || parsed.ptr != end) {
        return std::nullopt;
    }
    return number;
}

auto to_value(shard_head const& head) -> std::string {
    return json{{"sequence", head.sequence}, {"open", head.open_segment}, {"write", head.write_id}}
        .dump();
}

auto to_value(std::vector<record> const& records) -> std::string {
    auto rows = json::array();
    for (auto const& stored : records) {
        rows.push_back(to_json(stored));
    }
    return rows.dump();
}

auto parse_head(std::string_view value) -> std::optional<shard_head> {
    auto const parsed = json::parse(value, nullptr, false);
    auto const is = [&](char const* name, auto kind) {
        return parsed.contains(name) && (parsed[name].*kind)();
    };
    auto const shaped = parsed.is_object() && is("sequence", &json::is_number_unsigned) &&
                        is("open", &json::is_number_unsigned) && is("write", &json::is_string);
    if (!shaped) {
        return std::nullopt;
    }
    return shard_head{parsed["sequence"].get<std::uint64_t>(), parsed["open"].get<std::uint64_t>(),
                      parsed["write"].get<std::string>()};
}

auto parse_records(std::string_view value) -> std::optional<std::vector<record>> {
    auto const parsed = json::parse(value, nullptr, false);
    if (!parsed.is_array()) {
        return std::nullopt;
    }
    auto records = std::vector<record>{};
    for (auto const& row : parsed) {
        auto stored = from_json(row);
        if (!stored) {
            return std::nullopt;
        }
        records.push_back(std::move(*stored));
    }
    return records;
}

auto max_serialized_size(record const& stored) -> std::size_t {
    // Upper bound for the names, punctuation and numbers of a row.
    constexpr auto fixed = std::size_t{160};
    auto bytes = fixed + stored.service.value.size() + stored.claimant.host.value.size() +
                 (2 * stored.key.value.size());
    if (stored.answer) {
        bytes += 2 * (stored.answer->content_type.size() + stored.answer->body.size());
    }
    return bytes;
}

}  // namespace linnetlane::claim
