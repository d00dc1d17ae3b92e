// Deterministic answers of the engine stand-in. The text of a token depends only on the prompt and
// the token's offset, so that a test can detect missing, duplicate and foreign tokens.
//
//   auto const key = prompt_key("the prompt");
//   auto const whole = answer_text(key, 0, natural_length(key));

#ifndef LINNETLANE_STANDIN_TOKEN_TEXT_H_
#define LINNETLANE_STANDIN_TOKEN_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/ids.h"
#include "linnetlane/base/units.h"

namespace linnetlane::standin {

// Characters of prompt text per token.
inline constexpr auto prompt_characters_per_token = std::int64_t{4};

// Identifies a prompt by its content.
using prompt_id = base::basic_number<struct prompt_tag>;

// The id of a prompt: a hash of its text.
[[nodiscard]] auto prompt_key(std::string_view prompt) -> prompt_id;

// The number of tokens in the prompt `text`; at least 1.
[[nodiscard]] auto tokens_in(std::string_view text) -> base::token_count;

// The text of the token at `offset` in the answer to a prompt: `answer_characters_per_token`
// characters.
[[nodiscard]] auto token_text(prompt_id prompt, std::int64_t offset) -> std::string;
inline constexpr auto answer_characters_per_token = std::size_t{6};

// The text of the tokens from `begin` up to `end`.
[[nodiscard]] auto answer_text(prompt_id prompt, std::int64_t begin, std::int64_t end)
    -> std::string;

// The number of tokens in an answer without a limit: 100 to 300.
[[nodiscard]] auto natural_length(prompt_id prompt) -> base::token_count;

// Hashes of the prompt's prefixes that consist of 1, 2, ... whole pieces of `piece_size` tokens.
// The prompt `text` counts as `tokens` tokens of equal length, whatever its number of characters.
[[nodiscard]] auto piece_hashes(std::string_view text, base::token_count tokens,
                                base::token_count piece_size) -> std::vector<base::prefix_hash>;

}  // namespace linnetlane::standin

#endif  // LINNETLANE_STANDIN_TOKEN_TEXT_H_
