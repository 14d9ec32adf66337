#pragma once

#include "log_follower.h"
#include "log_writer.h"
#include "member_table.h"
#include "node_context.h"

#include <atomic>
#include <chrono>
#include <functional>
#include <span>
#include <vector>

namespace dragonflystair::node {

/// Opens and renews this node's session in the log, expires the sessions of nodes that no longer
/// renew theirs, and claims endpoints without an owner.
class session_agent {
public:
    /// Callbacks into the rest of the node.
    struct hooks {
        std::function<std::vector<membership::ownable_resource>()>
            ownables;                                       ///< Resources that need an owner.
        std::function<void(ledger::session_id)> on_session; ///< Called when a new session is open.
        std::function<void()> on_session_lost;
        std::function<bool()> draining;
    };

    static constexpr std::chrono::milliseconds tick_period{100};

    session_agent(node_context& context, member_table& members, log_writer& writer,
                  const log_follower& follower, ledger::session_open self, hooks callbacks);

    void start();

    /// Closes the session at the end of a graceful shutdown. Waits, up to a timeout, until the
    /// record has been read back.
    net::awaitable<void> close();

    /// Releases an endpoint and waits until the record has been read back. Returns false on timeout
    /// and true without waiting if this node has no session.
    net::awaitable<bool> release(membership::ownable_resource endpoint);

    /// Returns true if this node cannot read the log and has no pending record that would expire a
    /// session. This is a promise to peers not to take over for the length of a lease from now.
    [[nodiscard]] bool promises_no_takeover() const;

private:
    enum class phase { none, opening, open };

    net::awaitable<void> run();
    void tick();
    void open();
    void renew();
    void expire_silent_sessions();
    void claim_endpoints();

    node_context& context_;
    member_table& members_;
    log_writer& writer_;
    const log_follower& follower_;
    ledger::session_open self_;
    hooks hooks_;
    std::atomic<phase> phase_ = phase::none;
    std::atomic<bool> closing_ = false;
    std::atomic<bool> renewal_queued_ = false;
    std::atomic<int> pending_expiries_ = 0;
    support::time_point last_expiry_attempt_;
};

} // namespace dragonflystair::node
