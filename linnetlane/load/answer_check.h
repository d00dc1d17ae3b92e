// Checks a streamed answer of the engine stand-in: whether it is the whole answer to its own
// request, with each token once and in order.

#ifndef LINNETLANE_LOAD_ANSWER_CHECK_H_
#define LINNETLANE_LOAD_ANSWER_CHECK_H_

#include <string>
#include <string_view>
#include <vector>

#include "linnetlane/base/time.h"
#include "linnetlane/load/shape.h"
#include "linnetlane/standin/token_text.h"

namespace linnetlane::load {

enum class answer_state { open, whole, wrong, failed };

// Thread-compatible.
class answer_check {
public:
    explicit answer_check(planned_request const& request);

    // Processes the data of the next server-sent event, received at `now`.
    auto add_event(std::string_view data, base::time_point now) -> void;

    // `open` until the end mark; `wrong` after a foreign, duplicate or missing token or a malformed
    // event; `failed` after an error in the stream.
    [[nodiscard]] auto state() const -> answer_state { return this->current_state; }
    // The type of the error that ended the stream; empty if there was none.
    [[nodiscard]] auto error_type() const -> std::string const& { return this->error; }
    // The arrival time of each token.
    [[nodiscard]] auto arrivals() const -> std::vector<base::time_point> const& {
        return this->times;
    }

private:
    auto add_text(std::string_view text, base::time_point now) -> void;

    standin::prompt_id prompt;
    std::int64_t length = 0;
    answer_state current_state = answer_state::open;
    std::string error;
    std::vector<base::time_point> times;
};

// The error type in the body of a refusal, or `unknown`.
[[nodiscard]] auto error_type_in(std::string_view body) -> std::string;

}  // namespace linnetlane::load

#endif  // LINNETLANE_LOAD_ANSWER_CHECK_H_
