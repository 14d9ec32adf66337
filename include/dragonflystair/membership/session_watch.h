#pragma once

#include "dragonflystair/ledger/member_fold.h"
#include "dragonflystair/membership/lease_keeper.h"

#include <map>
#include <vector>

namespace dragonflystair::membership {

/// Tracks session leases on the claimant's side: the time, on the claimant's own clock, at which it
/// read each session's last renewal.
class session_watch {
public:
    explicit session_watch(lease_timing timing) : timing_(timing) {}

    /// Records the renewals of the sessions in `members`. Must be called after each batch of
    /// entries has been applied, with a time taken after the batch was read.
    void observe(const ledger::member_fold& members, support::time_point now);

    /// Discards all waiting periods, since renewals cannot be read while the log is unreachable.
    /// They restart from zero at the next `observe`.
    void on_log_unreachable();

    /// Returns an expire record, to be appended to the log, for each session whose lease and margin
    /// have passed without a renewal.
    [[nodiscard]] std::vector<ledger::session_expire> overdue(support::time_point now) const;

private:
    struct observed_renewal {
        ledger::position renewal = 0;
        support::time_point read_at;
    };
    lease_timing timing_;
    std::map<ledger::session_id, observed_renewal> observed_;
};

} // namespace dragonflystair::membership
