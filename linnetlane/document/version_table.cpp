#include "linnetlane/document/version_table.h"

#include <xxhash.h>

#include <string_view>

namespace linnetlane::document {

namespace {

auto hash_of(std::string_view text, std::uint64_t seed) -> std::uint64_t {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

auto id_hash(version const& stored) -> std::uint64_t {
    return hash_of(stored.write_id, hash_of(stored.service.value, stored.generation.value));
}

}  // namespace

auto id_of(version const& stored) -> version_id {
    return {stored.service, stored.generation, stored.write_id};
}

auto is_newer(version_id const& left, version_id const& right) -> bool {
    if (left.generation != right.generation) {
        return left.generation > right.generation;
    }
    return left.write_id > right.write_id;
}

auto version_table::insert_if_newer(version const& candidate) -> bool {
    if (!this->lacks(id_of(candidate))) {
        return false;
    }
    auto& stored = this->versions[candidate.service];
    if (stored.generation != base::generation{}) {
        this->current_digest -= id_hash(stored);
    }
    stored = candidate;
    this->current_digest += id_hash(stored);
    return true;
}

auto version_table::lacks(version_id const& id) const -> bool {
    auto const* const stored = this->find(id.service);
    if (stored == nullptr) {
        return id.generation != base::generation{};
    }
    return is_newer(id, id_of(*stored));
}

auto version_table::find(base::service_id const& service) const -> version const* {
    auto const found = this->versions.find(service);
    return found == this->versions.end() ? nullptr : &found->second;
}

auto version_table::version_ids() const -> std::vector<version_id> {
    auto ids = std::vector<version_id>{};
    ids.reserve(this->versions.size());
    for (auto const& [service, stored] : this->versions) {
        ids.push_back(id_of(stored));
    }
    return ids;
}

}  // namespace linnetlane::document
