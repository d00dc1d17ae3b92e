#include "linnetlane/standin/token_text.h"

#include <algorithm>

#include <xxhash.h>

namespace linnetlane::standin {

namespace {

constexpr auto alphabet_size = std::uint64_t{26};
constexpr auto min_answer_tokens = std::uint64_t{100};
constexpr auto answer_length_count = std::uint64_t{201};

}  // namespace

auto prompt_key(std::string_view prompt) -> prompt_id {
    return prompt_id{XXH64(prompt.data(), prompt.size(), 0)};
}

auto tokens_in(std::string_view text) -> base::token_count {
    auto const tokens =
        (std::ssize(text) + prompt_characters_per_token - 1) / prompt_characters_per_token;
    return base::token_count{std::max(std::int64_t{1}, std::int64_t{tokens})};
}

auto token_text(prompt_id prompt, std::int64_t offset) -> std::string {
    auto bits = XXH64(&offset, sizeof offset, prompt.value);
    auto text = std::string(answer_characters_per_token, ' ');
    for (auto at = std::size_t{1}; at < answer_characters_per_token; ++at) {
        text[at] = static_cast<char>('a' + bits % alphabet_size);
        bits /= alphabet_size;
    }
    return text;
}

auto answer_text(prompt_id prompt, std::int64_t begin, std::int64_t end) -> std::string {
    auto text = std::string{};
    for (auto offset = begin; offset < end; ++offset) {
        text += token_text(prompt, offset);
    }
    return text;
}

auto natural_length(prompt_id prompt) -> base::token_count {
    auto const length = min_answer_tokens + prompt.value % answer_length_count;
    return base::token_count{static_cast<std::int64_t>(length)};
}

auto piece_hashes(std::string_view text, base::token_count tokens, base::token_count piece_size)
    -> std::vector<base::prefix_hash> {
    auto hashes = std::vector<base::prefix_hash>{};
    if (tokens.value < 1 || piece_size.value < 1) {
        return hashes;
    }
    auto const characters_per_piece = static_cast<double>(text.size()) *
                                      static_cast<double>(piece_size.value) /
                                      static_cast<double>(tokens.value);
    for (auto piece = std::int64_t{1}; piece <= tokens.value / piece_size.value; ++piece) {
        auto const end =
            static_cast<std::size_t>(static_cast<double>(piece) * characters_per_piece);
        auto const leading = text.substr(0, end);
        hashes.push_back(base::prefix_hash{XXH3_64bits(leading.data(), leading.size())});
    }
    return hashes;
}

}  // namespace linnetlane::standin
