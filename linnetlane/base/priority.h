// Priority classes of requests.

#ifndef LINNETLANE_BASE_PRIORITY_H_
#define LINNETLANE_BASE_PRIORITY_H_

namespace linnetlane::base {

// Interactive work (field calls, lookups) goes before batch work (long summaries), which waits in
// a queue of its own with its own deadline.
enum class priority_class { interactive, batch };

}  // namespace linnetlane::base

#endif  // LINNETLANE_BASE_PRIORITY_H_
