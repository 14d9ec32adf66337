#pragma once

#include "dragonflystair/ledger/member_fold.h"
#include "dragonflystair/membership/grant_planner.h"
#include "dragonflystair/membership/lease_keeper.h"
#include "dragonflystair/membership/outage_promises.h"
#include "dragonflystair/membership/session_watch.h"

#include <chrono>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::node {

/// The node that owns an endpoint, as the log says.
struct owner_info {
    ledger::holder holder;
    ledger::session_open session;
};

/// A live session with its id.
struct live_session {
    ledger::session_id id = 0;
    ledger::session_open open;
};

/// Shared table of sessions and grants, with this node's own lease.
class member_table {
public:
    static constexpr std::chrono::milliseconds expiry_step{500};

    member_table(std::string incarnation, membership::lease_timing timing);

    void apply(std::span<const ledger::stream_entry> entries, support::time_point now);
    void restore(const support::json& state);
    void on_log_unreachable();

    [[nodiscard]] std::uint64_t next_offset() const;
    /// False while the fold waits for a snapshot that covers entries it has missed.
    [[nodiscard]] bool complete() const;
    [[nodiscard]] support::json state() const;

    /// Own session, if it is live in the fold.
    [[nodiscard]] std::optional<ledger::session_id> own_session() const;

    /// True while this node may rely on its grants.
    [[nodiscard]] bool lease_holds(support::time_point now) const;

    /// Fencing number of an endpoint that this node holds, provided that its lease holds.
    [[nodiscard]] std::optional<ledger::position> fence_if_held(std::string_view endpoint,
                                                                support::time_point now) const;

    /// True if requests may be sent to endpoints whose grant this node had when its lease ran out:
    /// the lease holds, or the log is down for every other session too.
    [[nodiscard]] bool may_serve(support::time_point now) const;

    /// Whether a peer promises not to take over; see `outage_promises`.
    void on_promise(std::string_view peer, bool promises, support::time_point echo);

    [[nodiscard]] std::optional<owner_info> owner_of(std::string_view endpoint) const;
    [[nodiscard]] std::vector<live_session> sessions() const;
    [[nodiscard]] bool session_lives(ledger::session_id session) const;
    [[nodiscard]] std::vector<std::string> held_by_self() const;
    [[nodiscard]] std::vector<std::string> foreign_intents(std::string_view endpoint) const;
    [[nodiscard]] std::vector<ledger::unresolved_intent>
    intents_on(std::string_view endpoint) const;

    /// Session that should follow as owner of an endpoint when this node leaves; 0 if there is
    /// none.
    [[nodiscard]] ledger::session_id
    successor_for(const membership::ownable_resource& endpoint) const;

    // The holder's side of the lease.
    [[nodiscard]] bool renewal_due(support::time_point now) const;
    void on_renewal_sending(support::time_point now);
    void on_renewal_read_back();
    void begin_new_lease();

    // The claimant's side.

    /// Sessions that this node should end now. One session writes the record, each further one
    /// waits `expiry_step` longer; without that order each node of a deployment would write it.
    [[nodiscard]] std::vector<ledger::session_expire> overdue(support::time_point now) const;
    [[nodiscard]] std::vector<ledger::grant>
    plan_grants(std::span<const membership::ownable_resource> endpoints, support::time_point now);

private:
    mutable std::mutex mutex_; ///< Second in the lock order.
    std::string incarnation_;
    membership::lease_timing timing_;
    ledger::member_fold fold_;
    membership::lease_keeper lease_;
    membership::session_watch watch_;
    membership::grant_planner planner_;
    membership::outage_promises promises_;
};

} // namespace dragonflystair::node
