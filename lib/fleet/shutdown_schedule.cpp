#include "dragonflystair/fleet/shutdown_schedule.h"

#include <algorithm>
#include <chrono>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::duration;
using support::time_point;

namespace {

/// Parts of the platform's limit that are reserved for the requests of connections that are open
/// already, for the exit of the process, and for writing the last responses before that.
constexpr milliseconds close_margin{1'500};
constexpr milliseconds exit_margin{500};
constexpr milliseconds write_margin{100};

/// The node stops before the limit once no caller has sent a request for `idle_time`, but not
/// before `min_time` has passed.
constexpr milliseconds idle_time{1'500};
constexpr milliseconds min_time{2'500};

/// Gives the caller time to look up the address of another node.
constexpr milliseconds other_node_retry_after{250};

} // namespace

time_point shutdown_schedule::closes_at() const {
    return began_ + limit_ - close_margin;
}

time_point shutdown_schedule::answers_by() const {
    return ends_at() - write_margin;
}

time_point shutdown_schedule::ends_at() const {
    return began_ + limit_ - exit_margin;
}

bool shutdown_schedule::may_close(time_point now, time_point last_request, bool calls_open) const {
    return now >= closes_at() ||
           (!calls_open && now - last_request > idle_time && now - began_ > min_time);
}

duration shutdown_schedule::retry_after(time_point now, bool other_node_ready) const {
    if (other_node_ready) {
        return other_node_retry_after;
    }
    return std::max<duration>(ends_at() - now, other_node_retry_after);
}

} // namespace dragonflystair::fleet
