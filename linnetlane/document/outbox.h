// Where the parts of the document store leave their commands.

#ifndef LINNETLANE_DOCUMENT_OUTBOX_H_
#define LINNETLANE_DOCUMENT_OUTBOX_H_

#include <utility>
#include <vector>

#include "linnetlane/coordination/store.h"
#include "linnetlane/document/messages.h"

namespace linnetlane::document {

// Thread-compatible.
class outbox {
public:
    auto add(command wanted) -> void { this->commands.push_back(std::move(wanted)); }

    // Makes a call on the platform under a new number, which it returns.
    template <typename Call>
    auto call(Call wanted) -> coordination::call_number {
        this->last_call = this->last_call.next();
        wanted.call = this->last_call;
        this->commands.emplace_back(call_store{std::move(wanted)});
        return this->last_call;
    }

    // All commands since the last time.
    auto take() -> std::vector<command> { return std::exchange(this->commands, {}); }

private:
    std::vector<command> commands;
    coordination::call_number last_call;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_OUTBOX_H_
