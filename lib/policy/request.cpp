#include "dragonflystair/policy/request.h"

namespace dragonflystair::policy {

std::string_view to_string(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::deadline_unreachable:
        return "deadline_unreachable";
    case refusal_reason::queue_full:
        return "queue_full";
    case refusal_reason::no_endpoint:
        return "no_endpoint";
    case refusal_reason::endpoint_leaving:
        return "endpoint_leaving";
    case refusal_reason::load_failed:
        return "load_failed";
    case refusal_reason::store_unavailable:
        return "store_unavailable";
    case refusal_reason::quarantined:
        return "quarantined";
    case refusal_reason::draining:
        return "draining";
    case refusal_reason::not_owner:
        return "not_owner";
    case refusal_reason::duplicate:
        return "duplicate";
    }
    return "unknown";
}

} // namespace dragonflystair::policy
