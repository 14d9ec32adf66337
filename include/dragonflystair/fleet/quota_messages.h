#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

/// Validity of granted tokens, from the time at which the node requested them. What is spent in a
/// window was therefore granted in a window that is longer by this time.
inline constexpr std::chrono::milliseconds quota_grant_lifetime{600};

/// Time from the request for tokens up to which a node may return them: the lifetime of the grant,
/// and 2 s for a call that took them and was not run.
inline constexpr std::chrono::milliseconds quota_return_time{2'600};

/// A node's request for tokens of all tenants that it needs some for. It replaces its former one.
struct quota_request {
    std::uint64_t stamp = 0; ///< Identifier, as chosen by the node.
    /// Stamp of the latest request that was answered, 0 if none was. It tells the allocator, which
    /// cannot compare clocks, how long this request has been on its way at most.
    std::uint64_t answered = 0;
    bool uses_share = false; ///< The node spends its equal share since it gets no answers.
    struct row {
        std::string tenant;
        double wanted = 0;
        double waiting = 0;  ///< The part of it that waiting calls need.
        double quantum = 0;  ///< Less than this is of no use to the node.
        double held = 0;     ///< Tokens of calls that have not been sent yet.
        double returned = 0; ///< Tokens that it was granted and will not spend.
        /// Time since the request for the oldest of the returned tokens.
        std::chrono::milliseconds returned_age{0};
    };
    std::vector<row> rows;
};

/// The allocator's answer to the last request of a node.
struct quota_grant {
    std::string node;
    std::uint64_t stamp = 0; ///< Of the request.
    struct row {
        std::string tenant;
        double amount = 0;
        std::chrono::milliseconds next_in{0}; ///< Expected time until the rest can be granted.
    };
    std::vector<row> rows;
};

} // namespace dragonflystair::fleet
