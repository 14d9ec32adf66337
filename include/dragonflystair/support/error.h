#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <boost/outcome/result.hpp>

#include <chrono>
#include <string>

namespace dragonflystair::support {

/// Kinds of failure of an operation against another process.
enum class error_kind {
    refused,      ///< The other side said no and did not act.
    unavailable,  ///< Could not be reached or answered with an outage; it did not act.
    unknown,      ///< The answer is missing, so the action may or may not have taken effect.
    gone,         ///< What was asked for is no longer kept.
    conflict,     ///< Another writer or a newer fencing number came first.
    malformed,    ///< The input or the answer could not be understood.
    rate_limited, ///< Over a rate; `retry_after` says when to come back.
};

/// An error that LEAF carries. Messages are in lower case without a full stop.
struct error {
    error_kind kind = error_kind::unavailable;
    std::string message;
    std::chrono::milliseconds retry_after{0};
};

template <class T> using result = boost::leaf::result<T>;

/// Result of a coroutine. LEAF keeps error objects in thread-local storage, which does not follow a
/// coroutine that resumes on another thread, so these carry the error by value.
template <class T>
using async_result =
    boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

/// Name of a kind as it appears in counters and logs.
std::string_view to_string(error_kind kind);

/// Makes a failed result.
inline boost::leaf::error_id fail(error_kind kind, std::string message,
                                  std::chrono::milliseconds retry_after = {}) {
    return boost::leaf::new_error(error{kind, std::move(message), retry_after});
}

/// Runs `attempt` and returns its value, or passes the error to `handler`, which returns a value of
/// the same type.
template <class Attempt, class Handler> auto value_or_handle(Attempt attempt, Handler handler) {
    return boost::leaf::try_handle_all(
        attempt, [&](const error& failure) { return handler(failure); },
        [&] {
            return handler(error{error_kind::unavailable, "unclassified error", {}});
        });
}

} // namespace dragonflystair::support
