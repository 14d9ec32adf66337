#pragma once

#include "dragonflystair/policy/load_permits.h"
#include "dragonflystair/support/json.h"

#include "member_table.h"
#include "node_context.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonflystair::node {

/// A load permit held by a requester. The load must end before `ends_at`.
struct held_permit {
    std::uint64_t number = 0;
    std::string issuer; ///< Incarnation of the node that issued it.
    support::time_point ends_at;
};

/// Requests load permits from the node that holds the grant `store`, and issues permits while this
/// node holds that grant.
class permit_broker {
public:
    /// Resource whose grant entitles a node to issue load permits.
    static constexpr std::string_view store_resource = "store";
    /// Interval at which pending requests are sent again, so that a new holder of the grant gets
    /// them.
    static constexpr std::chrono::milliseconds resend_period{500};

    struct hooks {
        std::function<bool(std::string_view peer, const support::json& frame)> send;
        std::function<policy::store_limits()> limits;
        /// Called without locks when a permit for one of this node's endpoints arrives.
        std::function<void(const std::string& endpoint, const std::string& adapter,
                           const held_permit& permit)>
            on_permit;
    };

    permit_broker(node_context& context, member_table& members, hooks callbacks);

    /// Requests a permit to load an adapter on an endpoint of this node.
    void request_permit(const std::string& endpoint, const std::string& adapter, double urgency);
    /// Withdraws a pending request.
    void withdraw(const std::string& endpoint, const std::string& adapter);
    /// Returns a permit to its issuer; `failed` reports that the load failed.
    void return_permit(const held_permit& permit, bool failed);

    /// Handles the frames `permit_request`, `permit`, `permit_return` and `permit_withdraw`.
    void on_frame(std::string_view peer, const support::json& frame);

    /// Issues the permits that are due and resends pending requests.
    void tick();

    /// Returns the number of permits issued by this node and not yet returned or expired.
    [[nodiscard]] std::size_t outstanding() const;

private:
    struct pending_request {
        double urgency = 0;
        support::time_point sent_at;
        bool sent = false;
    };
    struct requester {
        std::string peer;
        std::int64_t stamp_ms = 0;
    };
    /// Endpoint and adapter of a load.
    using load_key = std::pair<std::string, std::string>;

    /// Returns the incarnation of the node that holds the grant `store`; empty if there is none.
    [[nodiscard]] std::string holder() const;
    void send_request(const load_key& key, pending_request& pending,
                      const std::string& holder_peer);
    void remove_request(const load_key& key);
    void on_request(std::string_view peer, const support::json& frame);
    void on_permit_issued(std::string_view peer, const support::json& frame);
    /// Returns the `permit` frames to send; `peers` receives the recipient of each frame.
    std::vector<support::json> issue(std::vector<std::string>& peers);

    node_context& context_;
    member_table& members_;
    hooks hooks_;
    mutable std::mutex mutex_;
    std::map<load_key, pending_request> pending_;
    std::optional<policy::load_permits> permits_;
    ledger::position permits_fence_ = 0;
    std::map<load_key, requester> requesters_;
};

} // namespace dragonflystair::node
