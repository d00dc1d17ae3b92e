#include "linnetlane/document/version_table.h"

#include <xxhash.h>

#include <string_view>

namespace linnetlane::document {

namespace {

auto hash_of(std::string_view text, std::uint64_t seed) -> std::uint64_t {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

auto mark_hash(version const& kept) -> std::uint64_t {
    return hash_of(kept.write_id, hash_of(kept.service.value, kept.generation.value));
}

}  // namespace

auto id_of(version const& kept) -> version_id {
    return {kept.service, kept.generation, kept.write_id};
}

auto is_newer(version_id const& left, version_id const& right) -> bool {
    if (left.generation != right.generation) {
        return left.generation > right.generation;
    }
    return left.write_id > right.write_id;
}

auto version_table::take(version const& candidate) -> bool {
    if (!this->lacks(id_of(candidate))) {
        return false;
    }
    auto& kept = this->versions[candidate.service];
    if (kept.generation != base::generation{}) {
        this->sum -= mark_hash(kept);
    }
    kept = candidate;
    this->sum += mark_hash(kept);
    return true;
}

auto version_table::lacks(version_id const& id) const -> bool {
    auto const* const kept = this->find(id.service);
    if (kept == nullptr) {
        return id.generation != base::generation{};
    }
    return is_newer(id, id_of(*kept));
}

auto version_table::find(base::service_id const& service) const -> version const* {
    auto const found = this->versions.find(service);
    return found == this->versions.end() ? nullptr : &found->second;
}

auto version_table::version_ids() const -> std::vector<version_id> {
    auto ids = std::vector<version_id>{};
    ids.reserve(this->versions.size());
    for (auto const& [service, kept] : this->versions) {
        ids.push_back(id_of(kept));
    }
    return ids;
}

}  // namespace linnetlane::document
