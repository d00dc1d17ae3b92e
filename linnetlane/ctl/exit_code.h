// Exit codes of `linnetctl`. Scripts rely on them.

#ifndef LINNETLANE_CTL_EXIT_CODE_H_
#define LINNETLANE_CTL_EXIT_CODE_H_

namespace linnetlane::ctl {

enum class exit_code {
    done = 0,
    // The host refused the call; nothing was changed.
    refused = 1,
    // The command line or an input file is invalid. Nothing was changed.
    usage = 2,
    // The generation to replace is not the one in force; nothing was changed.
    conflict = 3,
    // The host could not be reached; nothing was changed.
    unreachable = 4,
    // The change may or may not have been made.
    outcome_unknown = 5,
    // The service does not exist, or `explain` found no log lines for the request.
    not_found = 6,
    // `service diff` found differences, or the `--wait` deadline passed before the change was in
    // force on every host.
    differs = 7,
    // `check` found warnings and no errors.
    warnings = 8,
};

}  // namespace linnetlane::ctl

#endif  // LINNETLANE_CTL_EXIT_CODE_H_
