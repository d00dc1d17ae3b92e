#include "linnetlane/load/answer_check.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace linnetlane::load {

namespace {

using json = nlohmann::json;

constexpr auto end_mark = std::string_view{"[DONE]"};

auto has_text(json const& choices) -> bool {
    return choices.is_array() && !choices.empty() && choices[0].is_object() &&
           choices[0].contains("text") && choices[0]["text"].is_string();
}

}  // namespace

auto error_type_in(std::string_view body) -> std::string {
    auto const read = json::parse(body, nullptr, false);
    if (!read.is_object() || !read.contains("error") || !read["error"].is_object()) {
        return "unknown";
    }
    return read["error"].value("type", "unknown");
}

answer_check::answer_check(planned_request const& request)
    : prompt(standin::prompt_key(request.prompt)),
      length(std::min(request.output_tokens, request.output_bound).value) {}

auto answer_check::add_event(std::string_view data, base::time_point now) -> void {
    if (this->current_state != answer_state::open) {
        this->current_state = answer_state::wrong;
        return;
    }
    if (data == end_mark) {
        auto const complete = std::ssize(this->times) == this->length;
        this->current_state = complete ? answer_state::whole : answer_state::wrong;
        return;
    }
    auto const read = json::parse(data, nullptr, false);
    if (read.is_object() && read.contains("error")) {
        this->current_state = answer_state::failed;
        this->error = error_type_in(data);
        return;
    }
    if (!read.is_object() || !read.contains("choices") || !has_text(read["choices"])) {
        this->current_state = answer_state::wrong;
        return;
    }
    this->add_text(read["choices"][0]["text"].get_ref<std::string const&>(), now);
}

auto answer_check::add_text(std::string_view text, base::time_point now) -> void {
    auto const tokens = std::ssize(text) / std::int64_t{standin::answer_characters_per_token};
    auto const begin = std::ssize(this->times);
    auto const end = begin + tokens;
    if (end > this->length || text != standin::answer_text(this->prompt, begin, end)) {
        this->current_state = answer_state::wrong;
        return;
    }
    this->times.insert(this->times.end(), static_cast<std::size_t>(tokens), now);
}

}  // namespace linnetlane::load
