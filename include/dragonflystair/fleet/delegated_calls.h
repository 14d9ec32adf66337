#pragma once

#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/support/time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Calls that this node has delegated to the lead of a data centre for placement. The lead is the
/// only node that dispatches calls to the engines there, so it has their exact load.
///
/// Load pattern it is designed for: many nodes in front of few engines. Loads that nodes report to
/// each other are stale after one call, so that some engines would get several prompts at once and
/// stall all their streams while others are idle. A lead that does not answer must not delay calls:
/// they return to the node, which then places them with its own view of the loads. Has no clock and
/// does no I/O: the time is an argument.
class delegated_calls {
public:
    /// A call that returns to this node, with the lead that was asked.
    struct returned_call {
        pending_call call;
        std::string lead;
    };

    delegated_calls();
    ~delegated_calls();
    delegated_calls(const delegated_calls&) = delete;
    delegated_calls& operator=(const delegated_calls&) = delete;

    /// Adds a call that was sent to a lead, which answers at once, at least that the call is
    /// queued. `far` allows for a round trip between regions.
    void add(pending_call call, std::string lead, std::string data_centre, bool far,
             support::time_point now);
    /// Records that the lead has queued the call.
    void on_waiting(std::uint64_t number);
    /// Records that the lead placed the call. Returns false if the call does not await placement.
    bool on_placed(std::uint64_t number, std::string endpoint);
    /// Removes a call, such as one that the lead rejected or that has ended.
    std::optional<pending_call> take(std::uint64_t number);

    [[nodiscard]] bool contains(std::uint64_t number) const;
    /// Returns the call; null if it is unknown. Valid until the next change.
    [[nodiscard]] const pending_call* call_of(std::uint64_t number) const;
    /// Returns the number of open calls of a service that were sent to leads, by data centre.
    [[nodiscard]] std::map<std::string, std::size_t, std::less<>>
    calls_by_data_centre(std::string_view service) const;
    /// Returns the incarnation of the lead that was asked; empty if the call is unknown.
    [[nodiscard]] std::string lead_of(std::uint64_t number) const;
    [[nodiscard]] std::string data_centre_of(std::uint64_t number) const;
    /// Returns the endpoint on which the call was placed; empty before that.
    [[nodiscard]] std::string endpoint_of(std::uint64_t number) const;

    /// Removes and returns the calls whose lead did not answer in time.
    std::vector<returned_call> take_overdue(support::time_point now);
    /// Removes and returns the unplaced calls of a lead whose connection was lost.
    std::vector<returned_call> take_lost(std::string_view lead);
    /// A call that a lead has placed.
    struct placed_call {
        pending_call call;
        std::string endpoint;
    };

    /// Returns the calls that a lead has placed.
    [[nodiscard]] std::vector<placed_call> placed_by(std::string_view lead) const;
    /// Returns when `take_overdue` has to run; empty if no call awaits placement.
    [[nodiscard]] std::optional<support::time_point> next_due() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::fleet
