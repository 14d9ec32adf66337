#include "dragonflystair/membership/outage_promises.h"

#include <algorithm>

namespace dragonflystair::membership {

void outage_promises::on_heartbeat(std::string_view peer, bool promises,
                                   support::time_point echoed_stamp) {
    if (promises) {
        promised_from_.insert_or_assign(std::string(peer), echoed_stamp);
        return;
    }
    const auto found = promised_from_.find(peer);
    if (found != promised_from_.end()) {
        promised_from_.erase(found);
    }
}

bool outage_promises::all_promised(std::span<const std::string> others,
                                   support::time_point now) const {
    return std::ranges::all_of(others, [&](const std::string& other) {
        const auto found = promised_from_.find(other);
        return found != promised_from_.end() && now < found->second + validity_;
    });
}

} // namespace dragonflystair::membership
