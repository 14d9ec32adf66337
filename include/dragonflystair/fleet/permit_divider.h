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

/// A divider's answer to the last request of a node.
struct permit_grant {
    std::string endpoint;
    std::string node;
    std::size_t count = 0;
    std::uint64_t request = 0;             ///< Identifier of the request, as chosen by the node.
    std::chrono::milliseconds next_in{0};  ///< Expected time until its next permit.
    std::chrono::milliseconds interval{0}; ///< Between its further permits.
};

/// Divides the rate limits of the endpoints of one data centre among all nodes. Run by the node
/// whose placement lease of the data centre is confirmed by the store, so there is at most one.
/// Permits are issued at the rate of the limit, one at a time to the node that has waited longest,
/// so a node's next permit can be predicted.
/// Requests lapse unless they are repeated, so a node that stops or is cut off holds nothing back.
///
/// The divider's own orders to engines need no request: they are charged afterwards, and nodes wait
/// until the debt is paid. Has no clock and does no I/O.
class permit_divider {
public:
    /// Validity of a request of a node.
    static constexpr std::chrono::milliseconds request_lifetime{500};

    /// Sets the limit of an endpoint in requests a second; without one its requests are dropped.
    void set_limit(std::string_view endpoint, std::optional<double> per_s, support::time_point now);
    /// Records a node's request, which replaces its former one; ignored without a limit.
    void request(std::string_view endpoint, std::string_view node, std::size_t wanted,
                 std::uint64_t request, support::time_point now);
    /// Charges a request that this node itself sends.
    void charge(std::string_view endpoint, support::time_point now);

    /// Returns the answers that are due: one for each new request, possibly without permits, and
    /// the permits that have become available since.
    std::vector<permit_grant> take_grants(support::time_point now);
    /// Returns when a permit becomes available for which a node waits; empty if none waits.
    [[nodiscard]] std::optional<support::time_point> next_due(support::time_point now) const;

private:
    struct waiting_node {
        std::size_t wanted = 0;
        std::uint64_t request = 0;
        support::time_point expires;
        support::time_point waiting_since; ///< Since its last permit, if it has got one meanwhile.
        bool answer_due = false;
        std::size_t granted = 0; ///< Since the last answer.
    };
    struct bucket {
        double per_s = 0;
        double permits = 0; ///< Negative after charges beyond the limit.
        support::time_point filled_at;
        std::map<std::string, waiting_node, std::less<>> nodes;
    };

    static void fill(bucket& target, support::time_point now);
    static void grant(bucket& target, support::time_point now);
    static void estimate(const bucket& target, const waiting_node& node, permit_grant& answer,
                         support::time_point now);

    std::map<std::string, bucket, std::less<>> buckets_;
};

} // namespace dragonflystair::fleet
