#pragma once

#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Lowest rate at which an endpoint is sent requests, in requests a second for all nodes together.
/// Only its responses show that a limit has ended, so even the smallest limit admits one now and
/// then.
inline constexpr double min_endpoint_rate = 0.1;

/// A request of this node for permits to send requests to an endpoint. It replaces the former one;
/// 0 withdraws that.
struct permit_request {
    std::string endpoint;
    std::size_t wanted = 0;
};

/// This node's permits for endpoints that name a rate limit for all nodes together. Each request to
/// such an endpoint takes one. The divider of the endpoint's data centre grants them; a permit that
/// is not used soon expires, also while the node is suspended or a grant is delayed.
///
/// A node whose requests are not answered uses a fallback: it may send one request in a time slot
/// of its own, whose position depends on its name. The slots of all nodes together allow
/// `fallback_share` of the limit, so the limit is exceeded by no more than that if some nodes have
/// a divider and others do not. Load pattern it is designed for: hundreds of nodes with calls for
/// one endpoint, whose equal shares are below one request. Has no clock and does no I/O.
class send_permits {
public:
    /// Share of a limit that nodes without a divider use together.
    static constexpr double fallback_share = 0.25;
    /// Time without an answer after which the fallback is used.
    static constexpr std::chrono::milliseconds answer_timeout{1'000};
    /// Validity of a permit, from the time at which the node requested it.
    static constexpr std::chrono::milliseconds permit_lifetime{600};
    /// Interval between requests for the same endpoint while calls wait for permits.
    static constexpr std::chrono::milliseconds request_period{200};

    /// `node` determines the positions of the fallback slots.
    explicit send_permits(std::string node);

    /// Sets the limit in requests a second; without one, any number of requests may be sent.
    void set_limit(std::string_view endpoint, std::optional<double> per_s);
    /// Sets the number of nodes that share the fallback.
    void set_nodes(std::size_t nodes);
    [[nodiscard]] bool limited(std::string_view endpoint) const;

    /// Returns whether a request may be sent now.
    [[nodiscard]] bool allows(std::string_view endpoint, support::time_point now) const;
    /// Takes the permit for a request that is sent now. Returns false if there is none.
    bool take(std::string_view endpoint, support::time_point now);
    /// Returns when a permit for a call can be expected, with `ahead` calls before it. Returns
    /// `now` if that is unknown.
    [[nodiscard]] support::time_point expected_at(std::string_view endpoint, std::size_t ahead,
                                                  support::time_point now) const;

    /// Sets the number of requests that wait for permits, by endpoint; 0 for all others.
    void set_wanted(const std::map<std::string, std::size_t, std::less<>>& wanted);
    /// Returns the requests to send to the dividers now.
    std::vector<permit_request> take_due_requests(support::time_point now);
    /// Records the answer of a divider to the request sent at `requested_at`: `count` permits, the
    /// expected time until the next one, and the interval between further ones.
    void on_answer(std::string_view endpoint, std::size_t count, support::time_point requested_at,
                   std::chrono::milliseconds next_in, std::chrono::milliseconds interval,
                   support::time_point now);

private:
    struct entry {
        double per_s = 0;
        std::vector<support::time_point> permits; ///< Expiry of each.
        std::size_t wanted = 0;
        std::size_t requested = 0; ///< Number in the last request that is not granted yet.
        std::optional<support::time_point> requested_at;
        std::optional<support::time_point> unanswered_since;
        std::optional<support::time_point> next_at; ///< When the next permit is expected.
        std::chrono::milliseconds interval{0};
        std::optional<std::int64_t> used_slot; ///< Last fallback slot that was used.
    };
    /// A fallback slot: its number and the time since its begin.
    struct slot_position {
        std::int64_t number = 0;
        support::duration elapsed{};
        support::duration period{}; ///< From one slot of this node to the next.
    };

    [[nodiscard]] slot_position slot_at(std::string_view endpoint, const entry& known,
                                        support::time_point now) const;
    [[nodiscard]] static bool uses_fallback(const entry& known, support::time_point now);
    [[nodiscard]] bool slot_open(std::string_view endpoint, const entry& known,
                                 support::time_point now) const;

    std::string node_;
    std::size_t nodes_ = 1;
    std::map<std::string, entry, std::less<>> entries_;
};

} // namespace dragonflystair::fleet
