#pragma once

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <boost/outcome/result.hpp>

#include <chrono>
#include <string>

namespace dragonflystair::support {

/// Kinds of failure of a request to another process.
enum class error_kind {
    refused,      ///< The other process rejected the request and did not act.
    unavailable,  ///< Unreachable or reported an outage; it did not act.
    unknown,      ///< No response, so the request may or may not have taken effect.
    gone,         ///< The requested data is no longer stored.
    conflict,     ///< Superseded by another writer or a newer fencing number.
    malformed,    ///< The input or the response could not be parsed.
    rate_limited, ///< Over a rate limit; `retry_after` is the time to wait.
};

/// Error object of `result`, carried by LEAF. Messages are in lower case without a full stop.
struct error {
    error_kind kind = error_kind::unavailable;
    std::string message;
    std::chrono::milliseconds retry_after{0};
};

template <class T> using result = boost::leaf::result<T>;

/// Result of a coroutine. It carries the error by value, since LEAF keeps error objects in
/// thread-local storage, which does not follow a coroutine that resumes on another thread.
template <class T>
using async_result =
    boost::outcome_v2::basic_result<T, error, boost::outcome_v2::policy::all_narrow>;

/// Returns the name of a kind as used in counters and logs.
std::string_view to_string(error_kind kind);

/// Creates an error to be returned as a failed `result`.
inline boost::leaf::error_id fail(error_kind kind, std::string message,
                                  std::chrono::milliseconds retry_after = {}) {
    return boost::leaf::new_error(error{kind, std::move(message), retry_after});
}

/// Runs `attempt` and returns its value. On failure, passes the error to `handler` and returns the
/// value of `handler`, which has the same type.
template <class Attempt, class Handler> auto value_or_handle(Attempt attempt, Handler handler) {
    return boost::leaf::try_handle_all(
        attempt, [&](const error& failure) { return handler(failure); },
        [&] {
            return handler(error{error_kind::unavailable, "unclassified error", {}});
        });
}

} // namespace dragonflystair::support
