#pragma once

#include "dragonflystair/support/time.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Kinds of requests that a node sends to endpoints.
enum class request_kind : std::uint8_t { first_try, retry, resumed_stream, order, check, report };

inline constexpr std::size_t request_kinds = 6;

std::string_view to_string(request_kind kind);

/// What a response says about the rate limit of its endpoint. The endpoint wrote it at some moment
/// between the sending of the request and the arrival of the response.
struct limit_observation {
    std::uint64_t started_ms = 0;    ///< Start time of the run of the endpoint.
    std::optional<double> per_s;     ///< Requests a second; empty if no limit is in force.
    support::time_point sent;        ///< When the request was sent, or earlier.
    support::time_point received_at; ///< When the response arrived, or later.
};

/// Requests of each kind that this node sent to one endpoint that names a limit.
struct limited_use {
    std::string endpoint;
    double per_s = 0;
    std::array<std::size_t, request_kinds> sent{};
};

/// The rate limits that endpoints name in their responses, each for all nodes together. Responses
/// overtake each other, and peers relay what they read: a stricter observation replaces the current
/// one unless it is certainly older, and a looser one only if the current one was not repeated for
/// `min_hold`. Has no clock and does no I/O.
class announced_limits {
public:
    /// Time for which a limit holds after the last response that named it, so that an endpoint that
    /// names one only now and then does not change the state of all nodes with each response.
    static constexpr std::chrono::milliseconds min_hold{500};

    /// Returns whether the limit that is in force for this run of the endpoint has changed.
    bool observe(std::string_view endpoint, const limit_observation& observed);
    /// Records that another run of the endpoint is listed. An observation of the last seconds may
    /// be of that run, since a response does not tell which run gave it, and holds for it until it
    /// says otherwise; an older one ends.
    void on_run_listed(std::string_view endpoint, std::uint64_t former_started_ms,
                       std::uint64_t started_ms, support::time_point now);
    void remove(std::string_view endpoint);

    /// Returns the limit in force for this run of the endpoint in requests a second, if any.
    [[nodiscard]] std::optional<double> per_s(std::string_view endpoint,
                                              std::uint64_t started_ms) const;
    /// Returns the latest observation; null if there is none.
    [[nodiscard]] const limit_observation* find(std::string_view endpoint) const;
    /// Returns the number of endpoints with a limit in force.
    [[nodiscard]] std::size_t in_force() const;
    /// Returns the endpoints that name a limit or did so before.
    [[nodiscard]] std::vector<std::string> known() const;

    /// Counts a request to an endpoint, if it names a limit.
    void on_sent(std::string_view endpoint, request_kind kind);
    /// Returns the requests sent since the last call to endpoints that name limits.
    std::vector<limited_use> take_use();

private:
    struct entry {
        limit_observation latest;
        std::array<std::size_t, request_kinds> sent{};
    };
    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace dragonflystair::fleet
