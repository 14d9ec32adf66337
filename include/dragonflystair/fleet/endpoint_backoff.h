#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflystair::fleet {

/// Endpoints that turned a request of this node away and said when to come back. Until then the
/// node sends them nothing: no call, no second try, no order and no question.
///
/// Load pattern it answers: an endpoint that is overloaded and spends its time on refusing what
/// comes again and again. Nodes return at different moments, so that it is not met by all of them
/// at once. Pure: the time is an argument.
class endpoint_backoff {
public:
    /// A longer time than this is taken for a mistake of the endpoint's; stated as a day.
    static constexpr std::chrono::hours longest_pause{24};
    /// What one endpoint told a peer keeps this node away for no longer, since the endpoint may
    /// have meant that peer only.
    static constexpr std::chrono::seconds max_relayed_pause{10};

    /// `node` sets when this node returns within the spread of all nodes.
    explicit endpoint_backoff(std::string node);

    /// The endpoint refused a request that was sent at `sent`. Returns the new end of its pause, or
    /// nothing if it has not moved. A shorter pause counts only if it is the endpoint's later word,
    /// which it is if the request was sent after the former answer had come.
    std::optional<support::time_point>
    on_refused(std::string_view endpoint, std::uint64_t started_ms, std::chrono::milliseconds pause,
               support::time_point sent, support::time_point now);

    /// Whether a request may be sent to this run of the endpoint.
    [[nodiscard]] bool allows(std::string_view endpoint, std::uint64_t started_ms,
                              support::time_point now) const;

private:
    struct entry {
        std::uint64_t started_ms = 0;
        support::time_point until;
        support::time_point told_at;
    };

    std::string node_;
    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace dragonflystair::fleet
