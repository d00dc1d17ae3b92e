// Names of enumerators in the text form of a document.

#ifndef LINNETLANE_SERVICE_WORDS_H_
#define LINNETLANE_SERVICE_WORDS_H_

#include <array>
#include <string_view>

#include "linnetlane/base/priority.h"
#include "linnetlane/service/document.h"
#include "linnetlane/settings/toml_reader.h"

namespace linnetlane::service {

inline constexpr auto kind_words = std::array{
    settings::toml_word<service_kind>{"model", service_kind::model},
    settings::toml_word<service_kind>{"plain", service_kind::plain},
};

inline constexpr auto role_words = std::array{
    settings::toml_word<upstream_role>{"prefill", upstream_role::prefill},
    settings::toml_word<upstream_role>{"decode", upstream_role::decode},
    settings::toml_word<upstream_role>{"plain", upstream_role::plain},
};

inline constexpr auto priority_words = std::array{
    settings::toml_word<base::priority_class>{"interactive", base::priority_class::interactive},
    settings::toml_word<base::priority_class>{"batch", base::priority_class::batch},
};

// The name of `value`, which must be in `words`.
template <typename Words, typename Value>
[[nodiscard]] constexpr auto word_of(Words const& words, Value value) -> std::string_view {
    for (auto const& word : words) {
        if (word.value == value) {
            return word.text;
        }
    }
    return {};
}

}  // namespace linnetlane::service

#endif  // LINNETLANE_SERVICE_WORDS_H_
