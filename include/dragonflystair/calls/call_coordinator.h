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

/// The three truthful outcomes of a non-idempotent call.
enum class call_outcome { completed, not_run, unknown };

/// Final answer to a caller. `not_run` speaks of this call only: nothing of it has left this
/// process, or the endpoint refused it. A key that is in use for another digest is `unknown` with
/// the reason `key_conflict`, since only a claim's writer may say `not_run`.
struct call_answer {
    call_outcome outcome = call_outcome::unknown;
    std::string reason; ///< Refusal reason for counters and problem details; empty if completed.
    std::optional<ledger::key_outcome> result;
};

/// What the caller of the coordinator has to do next. Exactly one of the members is set, or none,
/// which means to wait for the next event.
struct call_step {
    bool dispatch = false; ///< Write the request to an endpoint, once.
    std::optional<call_answer> answer;
};

/// Decides the course of the non-idempotent calls of one node. It never allows a second dispatch of
/// a claim, and says `not_run` only while nothing of the request has left the process, or after the
/// endpoint refused it. Not thread safe; use it under the lock of the `claims` table.
class call_coordinator {
public:
    /// Bodies of outcomes up to this size are kept in the log.
    static constexpr std::size_t max_body_bytes = 16'384;

    /// Idempotency keys are 1 to this many printable ASCII characters; others are refused.
    static constexpr std::size_t max_key_bytes = 255;

    /// How long after its deadline a call that ended `unknown` can still be completed by a lookup.
    static constexpr std::chrono::seconds lookup_window{30};

    /// Hooks to the node. `append` queues a record for the stream `claims`; records must reach the
    /// stream in the order of these calls. The hooks must not call the coordinator.
    struct hooks {
        std::function<void(ledger::record)> append;
        /// The own session's lease holds and the log answers; new claims are refused otherwise.
        std::function<bool()> lease_holds;
        std::function<bool(ledger::session_id)> session_lives; ///< `member_fold::may_be_live`.
    };

    /// Identifies a call within this node.
    using call_number = std::uint64_t;

    call_coordinator(ledger::session_id own, hooks hooks);
    ~call_coordinator();
    call_coordinator(const call_coordinator&) = delete;
    call_coordinator& operator=(const call_coordinator&) = delete;

    /// The node opened a new session after losing its old one.
    void set_session(ledger::session_id own);

    /// A call arrives. `append_deadline` bounds the wait for the claim to be read back,
    /// `deadline` the wait for another node's outcome. A key that becomes free while the call waits
    /// is claimed again, with the same time to be read back. `call` must not be in use.
    call_step begin(call_number call, std::string_view key, std::string_view digest,
                    const ledger::claim_fold& claims, support::time_point now,
                    support::time_point append_deadline, support::time_point deadline);

    /// The fold has applied more entries. Returns the steps of all calls that can go on.
    std::vector<std::pair<call_number, call_step>> on_folded(const ledger::claim_fold& claims,
                                                             support::time_point now);

    /// Timers: claims that were not read back in time are given up, waits for others end.
    std::vector<std::pair<call_number, call_step>> on_tick(const ledger::claim_fold& claims,
                                                           support::time_point now);

    /// The endpoint refused before running it (connection refused, or 503 with `X-Not-Run`).
    call_step on_refused(call_number call);

    /// The endpoint answered.
    call_step on_answer(call_number call, int status, std::string_view content_type,
                        std::string_view body);

    /// The connection broke or stayed silent after the request was written.
    call_step on_no_answer(call_number call);

    /// A status lookup found the call's result after all, so the open claim can be completed.
    call_step on_lookup_found(call_number call, int status, std::string_view content_type,
                              std::string_view body);

    /// Number of calls that have no final answer yet, for a graceful shutdown.
    [[nodiscard]] std::size_t open_calls() const;

    /// True if a call of this node with this key waits for its claim and may still be dispatched.
    [[nodiscard]] bool may_still_run(std::string_view key) const;

    /// Number of claims that were given up and not read back yet. A node that stops should wait a
    /// little for these, since a claim that is not abandoned keeps its key from being run at all.
    [[nodiscard]] std::size_t given_up_claims() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::calls
