#include "dragonflystair/support/error.h"

namespace dragonflystair::support {

std::string_view to_string(error_kind kind) {
    switch (kind) {
    case error_kind::refused:
        return "refused";
    case error_kind::unavailable:
        return "unavailable";
    case error_kind::unknown:
        return "unknown";
    case error_kind::gone:
        return "gone";
    case error_kind::conflict:
        return "conflict";
    case error_kind::malformed:
        return "malformed";
    case error_kind::rate_limited:
        return "rate_limited";
    }
    return "unknown";
}

} // namespace dragonflystair::support
