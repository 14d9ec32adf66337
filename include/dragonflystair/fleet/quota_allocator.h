#pragma once

#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/fleet/grant_history.h"
#include "dragonflystair/fleet/quota_messages.h"
#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// How far the use of a quota may exceed it, over all nodes: in any `window`, no more than (rate x
/// window + burst) x (1 + `overrun`) + `slack_tokens` reach endpoints. The slack does not apply to
/// quotas in requests.
struct quota_bounds {
    std::chrono::milliseconds window{8'000};
    double overrun = 0.1;
    double slack_tokens = 72'000;
};

/// Divides the quotas of tenants among all nodes. Run by the one node whose lease the store
/// confirms. Each tenant has a token bucket; a node gets tokens for the calls that it has or
/// expects, in amounts with which it can send at least one call. Has no clock and does no I/O.
///
/// Nodes without answers spend an equal share of the rate each. The allocator cannot tell them from
/// dead ones, so it reserves the shares of all nodes that are not in touch. After `reserve_time` it
/// releases what the overrun and the slack cover: a few nodes may have died, while many at once
/// are probably cut off.
class quota_allocator {
public:
    /// Time for which the whole share of a node that is not in touch any more is reserved.
    static constexpr std::chrono::seconds reserve_time{15};
    /// Validity of a report of nodes in touch.
    static constexpr std::chrono::milliseconds touch_lifetime{1'200};
    /// Validity of a node's request.
    static constexpr std::chrono::milliseconds request_lifetime{400};
    /// Longest time for which a request may have been on its way, so that the tokens that it
    /// returns are granted again. One that a suspended VM forwards may be seconds old.
    static constexpr std::chrono::milliseconds max_request_age{900};
    /// Longest time between the grant of tokens and their return.
    static constexpr std::chrono::milliseconds max_return_age = quota_return_time + max_request_age;

    explicit quota_allocator(quota_bounds bounds = {}) : bounds_(bounds) {}

    /// Starts with empty buckets. Grants nothing until the tokens of a former allocator expired.
    void start(support::time_point now);
    void stop();
    [[nodiscard]] bool running() const { return running_; }

    /// Sets the tenants. Changed limits apply to the next grant.
    void configure(std::span<const tenant> tenants, support::time_point now);
    /// Sets the number of nodes that have a share.
    void set_nodes(std::size_t nodes, support::time_point now);
    /// Records how many nodes of a data centre are in touch with its lead.
    void on_nodes_in_touch(std::string_view data_centre, std::size_t count,
                           support::time_point now);
    /// Records a node's request.
    void request(std::string_view node, const quota_request& message, support::time_point now);

    /// Returns the number of nodes that are not in touch, whose shares are reserved.
    [[nodiscard]] std::size_t silent_nodes() const { return silent_; }

    /// Returns an answer for each new request, possibly without tokens, and further tokens for
    /// those that could not be met before.
    std::vector<quota_grant> take_grants(support::time_point now);

private:
    struct bucket {
        double rate = 0;
        double burst = 0;
        double slack = 0;
        double level = 0;
        support::time_point filled_at;
        grant_history granted{max_return_age};
        double held = 0; ///< Tokens that nodes hold for calls they have not sent yet.
        std::map<std::string, support::time_point, std::less<>> served; ///< Last grant by node.
    };
    struct pending_row {
        double wanted = 0;
        double waiting = 0;
        double quantum = 0;
    };
    struct answer {
        std::uint64_t stamp = 0; ///< Of the request.
        support::time_point at;  ///< When it was first answered.
    };
    struct requester {
        std::uint64_t stamp = 0;
        std::deque<answer> answers; ///< Within `max_request_age`.
        bool uses_share = false;
        bool answer_due = false;
        support::time_point received;
        std::map<std::string, pending_row, std::less<>> rows;
        std::map<std::string, double, std::less<>> held; ///< By tenant.
    };
    struct touch {
        std::size_t count = 0;
        support::time_point received;
    };
    struct touched_count {
        support::time_point at;
        std::size_t count = 0;
    };
    using grants = std::map<std::string, quota_grant, std::less<>>;

    [[nodiscard]] std::size_t nodes_in_touch(support::time_point now) const;
    [[nodiscard]] double reserved(const bucket& target) const;
    void update_touched(support::time_point now);
    void fill(support::time_point now);
    void accept_returned(const quota_request& message, support::time_point sent_after,
                         support::time_point now);
    static void record_answer(requester& node, support::time_point now);
    void release_held(requester& node);
    [[nodiscard]] double overrun_s() const;
    [[nodiscard]] double potential(const bucket& target) const;
    [[nodiscard]] double capacity(const bucket& target, support::time_point now) const;
    [[nodiscard]] double room_for_returned(const bucket& target, support::time_point now) const;
    static std::optional<support::time_point>
    sent_after(requester& node, const quota_request& message, support::time_point now);
    void divide(const std::string& tenant, bucket& target, grants& out, support::time_point now);

    quota_bounds bounds_;
    bool running_ = false;
    support::time_point grants_from_;
    support::time_point returns_from_;
    std::size_t nodes_ = 0;
    std::size_t silent_ = 0;          ///< Nodes that are not in touch.
    std::size_t recently_silent_ = 0; ///< Those of them that were within `reserve_time`.
    std::map<std::string, bucket, std::less<>> buckets_;
    std::map<std::string, requester, std::less<>> requesters_;
    std::map<std::string, touch, std::less<>> touches_;
    std::deque<touched_count> history_; ///< Decreasing counts, oldest first.
};

} // namespace dragonflystair::fleet
