#include "dragonflystair/membership/session_watch.h"

namespace dragonflystair::membership {

void session_watch::observe(const ledger::member_fold& members, support::time_point now) {
    std::erase_if(observed_, [&](const auto& entry) { return !members.live(entry.first); });
    for (const auto& [id, state] : members.sessions()) {
        auto& observed = observed_[id];
        if (observed.renewal != state.last_renewal) {
            observed = {state.last_renewal, now};
        }
    }
}

void session_watch::on_log_unreachable() {
    observed_.clear();
}

std::vector<ledger::session_expire> session_watch::overdue(support::time_point now) const {
    std::vector<ledger::session_expire> expired;
    for (const auto& [id, observed] : observed_) {
        if (now - observed.read_at >= timing_.lease + timing_.margin) {
            expired.push_back({id, observed.renewal});
        }
    }
    return expired;
}

} // namespace dragonflystair::membership
