#pragma once

#include "dragonflystair/ledger/claim_fold.h"
#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflystair::calls {

/// Outcome of a non-idempotent call as reported to its caller. `unknown` means that the endpoint
/// may or may not have run the call.
enum class call_outcome { completed, not_run, unknown };

/// Final answer to a caller. `not_run` is a statement about this call only: either no part of the
/// request has left this process, or the endpoint refused it. A key that is in use with another
/// digest gives `unknown` with the reason `key_conflict`, since only the node that wrote a claim
/// may answer `not_run`.
struct call_answer {
    call_outcome outcome = call_outcome::unknown;
    std::string reason; ///< Reason for metrics and problem details; empty if completed.
    std::optional<ledger::key_outcome> result;
};

/// The next step that the node has to take for a call. At most one of the members is set; if none
/// is, the node waits for the next event.
struct call_step {
    bool dispatch = false; ///< Write the request to an endpoint, exactly once.
    std::optional<call_answer> answer;
};

/// Runs the non-idempotent calls of one node: each call claims its idempotency key in the log
/// before it is dispatched. Never allows a second dispatch of a claim, and answers `not_run` only
/// while no part of the request has left the process, or after the endpoint refused it. Not
/// thread-safe; must be used under the lock of the `claims` table.
class call_coordinator {
public:
    /// Response bodies up to this size are stored in the log.
    static constexpr std::size_t max_body_bytes = 16'384;

    /// Maximum length of an idempotency key. Keys that are empty, longer or not printable ASCII are
    /// refused.
    static constexpr std::size_t max_key_bytes = 255;

    /// Time after the deadline of a call answered `unknown` within which a status lookup can still
    /// complete its claim.
    static constexpr std::chrono::seconds lookup_window{30};

    /// Callbacks to the node. `append` queues a record for the stream `claims`; records must reach
    /// the stream in the order of these calls. The callbacks must not call the coordinator.
    struct hooks {
        std::function<void(ledger::record)> append;
        /// Returns whether this node's lease is held and the log is reachable; new claims are
        /// refused otherwise.
        std::function<bool()> lease_is_held;
        /// See `member_fold::may_be_live`.
        std::function<bool(ledger::session_id)> session_may_be_live;
    };

    /// Identifies a call within this node; never 0.
    using call_number = std::uint64_t;

    call_coordinator(ledger::session_id own_session, hooks hooks);
    ~call_coordinator();
    call_coordinator(const call_coordinator&) = delete;
    call_coordinator& operator=(const call_coordinator&) = delete;

    /// Sets the session of this node, after it has lost its previous one.
    void set_session(ledger::session_id own_session);

    /// Starts a call. `append_deadline` bounds the wait until its claim is read back from the log,
    /// `deadline` the wait for the outcome of another node's call with the same key. If the key
    /// becomes free during that wait, the call claims it again, with the same time limit for
    /// reading it back. `call` must not be in use.
    call_step begin(call_number call, std::string_view key, std::string_view digest,
                    const ledger::claim_fold& claims, support::time_point now,
                    support::time_point append_deadline, support::time_point deadline);

    /// Must be called after the fold has applied more log entries. Returns the next steps of all
    /// calls that can proceed.
    std::vector<std::pair<call_number, call_step>> on_folded(const ledger::claim_fold& claims,
                                                             support::time_point now);

    /// Must be called periodically. Times out claims that were not read back and waits for the
    /// outcomes of other calls. Returns the next steps of all calls that can proceed.
    std::vector<std::pair<call_number, call_step>> on_tick(const ledger::claim_fold& claims,
                                                           support::time_point now);

    /// The endpoint refused the call before running it (connection refused, or status 503 with
    /// `X-Not-Run`).
    call_step on_refused(call_number call);

    /// The endpoint answered the call.
    call_step on_answer(call_number call, int status, std::string_view content_type,
                        std::string_view body);

    /// The connection broke or timed out after the request was written.
    call_step on_no_answer(call_number call);

    /// A status lookup returned the result of a call that was answered `unknown`; completes its
    /// claim.
    call_step on_lookup_found(call_number call, int status, std::string_view content_type,
                              std::string_view body);

    /// Returns the number of calls without a final answer; zero allows a graceful shutdown.
    [[nodiscard]] std::size_t open_calls() const;

    /// Returns whether a call of this node with this key waits for its claim and may still be
    /// dispatched.
    [[nodiscard]] bool has_pending_claim(std::string_view key) const;

    /// Returns the number of claims whose calls no longer wait for them and that are not read back
    /// yet. A node that stops should wait briefly for these, so that it can abandon them: a claim
    /// that is not abandoned prevents its key from ever being run.
    [[nodiscard]] std::size_t orphaned_claims() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::calls
