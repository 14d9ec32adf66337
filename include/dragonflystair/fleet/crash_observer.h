#pragma once

#include "dragonflystair/fleet/crash_evidence.h"
#include "dragonflystair/support/time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflystair::fleet {

/// Detects crashes of endpoints from the connections of this node, and collects the requests that
/// were in flight there.
///
/// A lost connection alone is no crash: endpoints also break off single responses. If the endpoint
/// goes on responding on other connections, its lost connections are dismissed. A response that
/// ends with its connection, without a length, looks complete also if the endpoint crashed, so
/// whether its request was served is open until the endpoint responds again or is found to be gone.
/// Has no clock and does no I/O: the time is an argument.
class crash_observer {
public:
    /// A request lost its connection before its response was complete.
    void on_connection_lost(std::string_view endpoint, std::uint64_t started_ms,
                            const request_traits& request, support::time_point now);
    /// A response that is delimited by its connection has ended.
    void on_ended_with_connection(std::string_view endpoint, std::uint64_t started_ms,
                                  const request_traits& request, support::time_point now);
    /// This run of the endpoint refused a connection, or was removed from the list without having
    /// left.
    void on_gone(std::string_view endpoint, std::uint64_t started_ms, support::time_point now);
    /// Bytes of a response have arrived.
    void on_response(std::string_view endpoint, std::uint64_t started_ms, support::time_point now);

    /// Returns the crashes that are established by now.
    std::vector<endpoint_crash> take_crashes(support::time_point now);
    /// Returns the requests that turned out to have been served.
    std::vector<request_traits> take_served();

private:
    struct ended_request {
        support::time_point at;
        request_traits request;
    };

    struct entry {
        std::optional<support::time_point> lost_at; ///< Of the first lost connection.
        std::vector<request_traits> lost;
        std::vector<ended_request> ended;
    };

    /// An endpoint and the start time of its run.
    using run_view = std::pair<std::string_view, std::uint64_t>;
    struct run_order {
        using is_transparent = void;
        bool operator()(const run_view& left, const run_view& right) const { return left < right; }
    };

    entry* entry_for(std::string_view endpoint, std::uint64_t started_ms);

    /// By run, since connections to a former run may be found lost after its successor has begun.
    std::map<std::pair<std::string, std::uint64_t>, entry, run_order> entries_;
    std::vector<request_traits> served_;
};

} // namespace dragonflystair::fleet
