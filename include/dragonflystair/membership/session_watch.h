#pragma once

#include "dragonflystair/ledger/member_fold.h"
#include "dragonflystair/membership/lease_keeper.h"

#include <map>
#include <vector>

namespace dragonflystair::membership {

/// A claimant's side of leases: when it read each session's last renewal on its own clock.
class session_watch {
public:
    explicit session_watch(lease_timing timing) : timing_(timing) {}

    /// Notes the renewals that the fold shows. Call it after each batch of entries was applied,
    /// with a time taken after the batch was read.
    void observe(const ledger::member_fold& members, support::time_point now);

    /// Pauses all waiting periods, since renewals cannot be seen while the log is unreachable; they
    /// start anew with the next `observe`.
    void on_log_unreachable();

    /// Sessions whose lease and margin have passed without a renewal, each ready to be appended.
    [[nodiscard]] std::vector<ledger::session_expire> overdue(support::time_point now) const;

private:
    struct seen {
        ledger::position renewal = 0;
        support::time_point at;
    };
    lease_timing timing_;
    std::map<ledger::session_id, seen> seen_;
};

} // namespace dragonflystair::membership
