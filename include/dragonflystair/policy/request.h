#pragma once

#include "dragonflystair/support/time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonflystair::policy {

/// Class of a request; selects its lane.
enum class work_class { short_work, long_work };

/// The attributes of a request that scheduling decisions need.
struct request {
    std::string id;
    std::string adapter; ///< Full name `service/adapter@version`.
    work_class work = work_class::short_work;
    support::time_point deadline;
    std::uint64_t fingerprint = 0; ///< XXH3-64 of the content; identifies crash suspects.
    bool isolated = false;      ///< Is a crash suspect and must be the only request in the batch.
    double expected_tokens = 0; ///< Expected length of the answer; 0 if unknown.
};

/// Why a request is refused. The names are used in metrics and problem details.
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
    duplicate, ///< A request with this id is already queued or running.
};

std::string_view to_string(refusal_reason reason);

/// A refusal, and the delay after which a retry may succeed.
struct refusal {
    refusal_reason reason = refusal_reason::queue_full;
    std::chrono::milliseconds retry_after{1'000};
};

} // namespace dragonflystair::policy
