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

/// Calls that this node has asked another one to place: the lead of a data centre, which alone
/// sends calls to the engines there and so knows exactly what runs on them.
///
/// Load pattern it answers: many nodes before few engines. Counts that nodes tell each other are
/// old after one call, so that engines get several prompts at once while others are idle, and all
/// streams there pause. A lead that does not answer must not hold calls up: they come back to the
/// node, which then places them by what it knows itself. Pure: the time is an argument.
class delegated_calls {
public:
    /// A call that comes back to this node, and the lead that had been asked.
    struct returned_call {
        pending_call call;
        std::string lead;
    };

    delegated_calls();
    ~delegated_calls();
    delegated_calls(const delegated_calls&) = delete;
    delegated_calls& operator=(const delegated_calls&) = delete;

    /// The lead was asked. It answers at once, if only that the call waits.
    void add(pending_call call, std::string lead, std::string data_centre, bool far,
             support::time_point now);
    /// The lead has the call in its queue.
    void on_waiting(std::uint64_t number);
    /// The lead placed the call. Returns false if it no longer awaits that.
    bool on_placed(std::uint64_t number, std::string endpoint);
    /// Removes a call, such as one that the lead refused or that has ended.
    std::optional<pending_call> take(std::uint64_t number);

    [[nodiscard]] bool contains(std::uint64_t number) const;
    /// Incarnation of the lead that was asked; empty if the call is not known.
    [[nodiscard]] std::string lead_of(std::uint64_t number) const;
    [[nodiscard]] std::string data_centre_of(std::uint64_t number) const;
    /// Where the call was placed; empty before that.
    [[nodiscard]] std::string endpoint_of(std::uint64_t number) const;

    /// Removes the calls whose lead did not answer in time.
    std::vector<returned_call> take_overdue(support::time_point now);
    /// Removes the calls that still wait for a lead which is no longer in touch.
    std::vector<returned_call> take_lost(std::string_view lead);
    /// When `take_overdue` has to run; nothing if no call waits.
    [[nodiscard]] std::optional<support::time_point> next_due() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::fleet
