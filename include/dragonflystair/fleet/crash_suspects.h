#pragma once

#include "dragonflystair/fleet/crash_evidence.h"
#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// A trait that has been blocked or unblocked, for the log.
struct block_change {
    trait_block block;
    bool blocked = false;
    std::string_view source; ///< "evidence", "peer", "test", "served" or "explained".
};

/// Finds the requests and the parts of prompts that crash endpoints, from the crashes and the
/// served requests of all nodes, and blocks them.
///
/// Load pattern it is designed for: requests with one part of a prompt crash each endpoint that
/// runs them, while its batch holds sound requests that have other parts, and some of the same.
///
/// - A crash counts against the traits of the requests in flight, unless a request with the trait
///   has been served, at any node, since then or shortly before.
/// - A request is blocked after `min_request_crashes`. A part is blocked after `min_episodes`
///   crashes of different requests at different times, more if it was served before, and only if it
///   is behind at least half of the crashes in that time.
/// - Of several such parts, the one that explains most crashes is blocked first and, among equals,
///   the one that the fewest requests have. While the next crash may still tell them apart, none
///   is.
/// - Crashes that a blocked part explains no longer count against anything else, and blocks that
///   rest on them alone are lifted.
/// - Before a part is blocked, the nodes are told, and those that have served it object.
/// - A block ends with a single request that tests it. If that crashes its endpoint too, the next
///   block is longer; if it is served, the trait is cleared.
///
/// All that is kept is bounded, and evidence expires. Has no clock and does no I/O.
class crash_suspects {
public:
    /// Evidence older than this does not count.
    static constexpr std::chrono::minutes evidence_lifetime{5};
    /// Crashes of the same request after which it is blocked.
    static constexpr std::size_t min_request_crashes = 2;
    /// Crashes at different times, and of different requests, after which a part is blocked.
    static constexpr std::size_t min_episodes = 3;
    /// The same for a part that was served within `service_memory` before its first crash, and the
    /// crashes, at any time, that it takes.
    static constexpr std::size_t min_episodes_if_served = 4;
    static constexpr std::size_t min_crashes_if_served = 5;
    static constexpr std::chrono::seconds service_memory{60};
    /// Duration of the first block, and the factor and limit by which it grows.
    static constexpr std::chrono::seconds first_block{30};
    static constexpr int block_growth = 4;
    static constexpr std::chrono::minutes max_block{30};

    /// Returns how long after the end of a block this node may test the trait, if no other node has
    /// done so before.
    using test_delay = std::function<support::duration(const trait&)>;

    explicit crash_suspects(test_delay delay = {});
    ~crash_suspects();
    crash_suspects(const crash_suspects&) = delete;
    crash_suspects& operator=(const crash_suspects&) = delete;
    crash_suspects(crash_suspects&&) noexcept;
    crash_suspects& operator=(crash_suspects&&) noexcept;

    /// Adds a crash that this node observed. Returns what to tell others: the crash without the
    /// parts that have recently been served here.
    endpoint_crash on_crash(endpoint_crash crash, support::time_point now);
    /// Adds a request that an endpoint served, or has streamed for a while.
    void on_served(const request_traits& request, support::time_point now);
    /// An endpoint responded to a request that was sent at `sent`, so it had not crashed before.
    void on_response(std::string_view endpoint, std::uint64_t started_ms, support::time_point sent);
    /// Another run of the endpoint is listed, so the former one has ended, and a response of the
    /// last seconds may have been the present one's.
    void on_run_listed(std::string_view endpoint, std::uint64_t former_started_ms,
                       support::time_point now);
    /// Adds what a peer tells. Returns whether its conclusions are new to this node.
    bool on_notice(const crash_notice& notice, support::time_point now);

    /// Draws conclusions from the evidence.
    void update(support::time_point now);

    /// Returns how long requests with these traits are refused; empty if they may be sent.
    [[nodiscard]] std::optional<support::duration> refused_for(const request_traits& request,
                                                               support::time_point now) const;
    /// Takes the right to send a request as the test of its blocked traits. Returns false if it is
    /// not due.
    bool take_test(const request_traits& request, support::time_point now);

    /// Returns what the peers need to be told since the last call, without crashes.
    crash_notice take_notice();
    /// Returns all blocks, for a new peer.
    [[nodiscard]] std::vector<trait_block> blocks(support::time_point now) const;
    std::vector<block_change> take_changes();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::fleet
