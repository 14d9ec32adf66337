#pragma once

#include "dragonflystair/support/time.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::soak {

/// Kinds of call, which differ in whether a request may be retried.
enum class call_kind {
    stamp,   ///< Unary, runs at most once.
    lookup,  ///< Unary, may be retried.
    draft,   ///< Stream, runs at most once.
    pattern, ///< Stream, may be resumed after an interruption.
};

inline constexpr std::size_t call_kinds = 4;
/// Number of events of a complete stream.
inline constexpr int stream_events = 6;

/// Result of a call as its caller observed it.
enum class call_end {
    served,
    refused, ///< Status 408, 421, 429 or 503: the call has not run and must never run.
    failed,  ///< Any other error status; the call may have run.
    cut,     ///< The connection ended before a complete answer.
};

bool runs_once(call_kind kind);
std::string_view to_string(call_kind kind);

/// Checks the guarantees given to callers (at most one run of a call that must not be retried, no
/// run after a rejection, complete answers) against the runs and answers that endpoints and callers
/// observe. Thread-safe.
class guarantee_checker {
public:
    /// `cuts_allowed` permits faults to fail or cut off a call that has begun to run.
    /// `on_violation` receives the description of each violation, under the lock.
    guarantee_checker(bool cuts_allowed, std::function<void(std::string_view)> on_violation)
        : cuts_allowed_(cuts_allowed), on_violation_(std::move(on_violation)) {}

    /// Records a call that is sent to the gateway at `address`.
    void note_call(const std::string& id, call_kind kind, const std::string& address);
    /// Records that an endpoint of `service` begins to run a call; `first_event` is the number of
    /// the first event of a stream, above 1 if the stream is resumed.
    void note_run(const std::string& id, std::string_view service, int first_event);
    /// Records the final result of a call; `body` is the part of the answer received.
    void note_end(const std::string& id, call_end end, std::string_view signature,
                  std::string_view body);

    /// Records that an endpoint got a call although the store had acknowledged `gone_for` ago that
    /// the endpoint leaves or is gone.
    void note_arrival_at_gone_endpoint(const std::string& id, support::duration gone_for);
    /// Excuses the gateway or the store at `address` from checks with time bounds until `until`,
    /// since a fault affects it.
    void excuse(const std::string& address, support::time_point until);
    [[nodiscard]] bool excused(const std::string& address) const;

    /// Counts and reports a violation found by another component.
    void report_violation(const std::string& text);

    [[nodiscard]] std::size_t violations() const;
    /// Number of calls of a kind that have been served.
    [[nodiscard]] std::size_t served(call_kind kind) const;
    [[nodiscard]] std::string summary() const;

private:
    struct call {
        call_kind kind = call_kind::stamp;
        int runs = 0;
        bool refused = false;
        std::string address; ///< Of its gateway.
        support::time_point sent;
    };

    [[nodiscard]] bool excused_locked(const std::string& address) const;
    void check_body(const std::string& id, const call& item, std::string_view signature,
                    std::string_view body, bool complete);

    bool cuts_allowed_;
    std::function<void(std::string_view)> on_violation_;
    mutable std::mutex mutex_;
    std::map<std::string, call> calls_;
    std::map<std::string, support::time_point> excused_until_; ///< By address.
    std::map<std::pair<call_kind, call_end>, std::size_t> ends_;
    std::size_t violations_ = 0;
};

/// Bodies and signatures derived from the request id, so that a request or an answer delivered to
/// the wrong call is detected.
std::string request_body(std::string_view id);
std::string signature_of(std::string_view id);
std::string plain_body(std::string_view id);
std::string event_text(std::string_view id, int number);

} // namespace dragonflystair::soak
