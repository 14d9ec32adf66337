#include "dragonflystair/membership/session_watch.h"

namespace dragonflystair::membership {

void session_watch::observe(const ledger::member_fold& members, support::time_point now) {
    std::erase_if(seen_, [&](const auto& item) { return !members.live(item.first); });
    for (const auto& [id, state] : members.sessions()) {
        auto& known = seen_[id];
        if (known.renewal != state.last_renewal) {
            known = {state.last_renewal, now};
        }
    }
}

void session_watch::on_log_unreachable() {
    seen_.clear();
}

std::vector<ledger::session_expire> session_watch::overdue(support::time_point now) const {
    std::vector<ledger::session_expire> expired;
    for (const auto& [id, known] : seen_) {
        if (now - known.at >= timing_.lease + timing_.margin) {
            expired.push_back({id, known.renewal});
        }
    }
    return expired;
}

} // namespace dragonflystair::membership
