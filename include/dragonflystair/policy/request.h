#pragma once

#include "dragonflystair/support/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflystair::policy {

/// Class of work, which decides the lane.
enum class work_class { short_work, long_work };

/// A request as the policy sees it.
struct request {
    std::string id;
    std::string adapter; ///< Full name `service/adapter@version`.
    work_class work = work_class::short_work;
    support::time_point deadline;
    std::uint64_t fingerprint = 0; ///< XXH3-64 of the content, for crash suspects.
    bool isolated = false;         ///< A crash suspect: must run with nothing else.
    double expected_tokens = 0;    ///< Learned length; 0 if unknown.
};

/// Why a request is refused. The names are the counters' reasons.
enum class refusal_reason {
    deadline_unreachable,
    queue_full,
    no_endpoint,
    endpoint_leaving,
    load_failed,
    store_unavailable,
    quarantined,
    draining,
    not_owner,
    duplicate, ///< A request with this id is queued or runs already.
};

/// Name of a reason in counters and problem details.
std::string_view to_string(refusal_reason reason);

/// A final refusal and the time after which a new try makes sense.
struct refusal {
    refusal_reason reason = refusal_reason::queue_full;
    std::chrono::milliseconds retry_after{1'000};
};

} // namespace dragonflystair::policy
