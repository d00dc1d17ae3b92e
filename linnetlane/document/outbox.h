// Collects the commands of the parts of the document store.

#ifndef LINNETLANE_DOCUMENT_OUTBOX_H_
#define LINNETLANE_DOCUMENT_OUTBOX_H_

#include <utility>
#include <vector>

#include "linnetlane/coordination/store.h"
#include "linnetlane/document/messages.h"

namespace linnetlane::document {

// Commands in the order of their addition, and the numbers of platform calls. Thread-compatible.
class outbox {
public:
    auto add(command issued) -> void { this->commands.push_back(std::move(issued)); }

    // Adds a platform call under a new call number, which it returns.
    template <typename Call>
    auto call(Call request) -> coordination::call_number {
        this->last_call = this->last_call.next();
        request.call = this->last_call;
        this->commands.emplace_back(call_store{std::move(request)});
        return this->last_call;
    }

    // Returns the commands added since the last call.
    auto take() -> std::vector<command> { return std::exchange(this->commands, {}); }

private:
    std::vector<command> commands;
    coordination::call_number last_call;
};

}  // namespace linnetlane::document

#endif  // LINNETLANE_DOCUMENT_OUTBOX_H_
