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

/// The owner of an endpoint according to the log.
struct owner_info {
    ledger::holder holder;
    ledger::session_open session;
};

/// A live session with its id.
struct live_session {
    ledger::session_id id = 0;
    ledger::session_open open;
};

/// Thread-safe table of sessions and grants, including the state of this node's lease.
class member_table {
public:
    static constexpr std::chrono::milliseconds expiry_stagger{500};

    member_table(std::string incarnation, membership::lease_timing timing);

    void apply(std::span<const ledger::stream_entry> entries, support::time_point now);
    /// Replaces the state of the fold by one that a peer sent; has no effect if that is not newer.
    void restore(const support::json& state);
    /// Resets the timers that expire other sessions, since their renewals cannot be read.
    void on_log_unreachable();

    [[nodiscard]] std::uint64_t next_offset() const;
    /// Returns false while the fold waits for a snapshot that covers entries it has missed.
    [[nodiscard]] bool complete() const;
    /// Returns the state of the fold, for snapshots and for peers that cannot reach the log.
    [[nodiscard]] support::json state() const;

    /// Returns this node's session if it is live in the fold.
    [[nodiscard]] std::optional<ledger::session_id> own_session() const;

    /// Returns true if this node has a live session and a valid lease, so that its grants are
    /// valid.
    [[nodiscard]] bool has_valid_lease(support::time_point now) const;

    /// Returns the fencing number of an endpoint that is granted to this node, or an empty optional
    /// if it is not or this node's lease is not valid.
    [[nodiscard]] std::optional<ledger::position> fence_if_held(std::string_view endpoint,
                                                                support::time_point now) const;

    /// Returns true if requests may be dispatched to endpoints that are granted to this node: its
    /// lease is valid, or the lease has expired but every other session promises not to take over,
    /// since the log is unreachable for it too.
    [[nodiscard]] bool may_dispatch(support::time_point now) const;

    /// Records whether a peer promises not to take over; see `outage_promises`.
    void on_promise(std::string_view peer, bool promises, support::time_point echo);

    [[nodiscard]] std::optional<owner_info> owner_of(std::string_view endpoint) const;
    [[nodiscard]] std::vector<live_session> sessions() const;
    /// Returns true if a session is live or may be opened by an entry that has not been read yet.
    [[nodiscard]] bool session_may_be_live(ledger::session_id session) const;
    /// Returns the endpoints that are granted to this node's session.
    [[nodiscard]] std::vector<std::string> held_by_self() const;
    /// Returns the adapters that have unresolved eviction intents of other sessions on an endpoint.
    [[nodiscard]] std::vector<std::string>
    adapters_with_foreign_intents(std::string_view endpoint) const;
    /// Returns the unresolved eviction intents of other sessions on an endpoint.
    [[nodiscard]] std::vector<ledger::unresolved_intent>
    intents_on(std::string_view endpoint) const;

    /// Returns the preferred next owner of an endpoint when this node shuts down, or 0 if there is
    /// no other session.
    [[nodiscard]] ledger::session_id
    successor_for(const membership::ownable_resource& endpoint) const;

    // Lease renewal by the owner.
    [[nodiscard]] bool renewal_due(support::time_point now) const;
    void on_renewal_sending(support::time_point now);
    void on_renewal_read_back();
    void begin_new_lease();

    // Expiry of other sessions and claims on endpoints.

    /// Returns the sessions that this node is to expire now. The first of the live nodes, in
    /// rendezvous order, writes the record, and each further one waits `expiry_stagger` longer;
    /// without this order every node of a deployment would write it.
    [[nodiscard]] std::vector<ledger::session_expire>
    sessions_to_expire(support::time_point now) const;
    /// Returns the grants that this node is to claim now; none without a valid lease.
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
