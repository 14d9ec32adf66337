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

/// A permit as its user holds it: the load must have ended before `ends_at`.
struct held_permit {
    std::uint64_t number = 0;
    std::string issuer; ///< Incarnation of the node that issued it.
    support::time_point ends_at;
};

/// Asks the holder of the grant `store` for load permits, and issues them while this node holds it.
class permit_broker {
public:
    static constexpr std::string_view store_resource = "store";
    /// Waiting requests are repeated this often, so that a new holder learns of them.
    static constexpr std::chrono::milliseconds repeat_period{500};

    struct hooks {
        std::function<bool(std::string_view peer, const support::json& frame)> send;
        std::function<policy::store_limits()> limits;
        /// A permit for one of this node's own endpoints; called without locks.
        std::function<void(const std::string& endpoint, const std::string& adapter,
                           const held_permit& permit)>
            on_permit;
    };

    permit_broker(node_context& context, member_table& members, hooks callbacks);

    void want(const std::string& endpoint, const std::string& adapter, double urgency);
    /// The request is no longer needed.
    void withdraw(const std::string& endpoint, const std::string& adapter);
    void return_permit(const held_permit& permit, bool failed);

    /// Frames `permit_request`, `permit`, `permit_return`, `permit_withdraw`.
    void on_frame(std::string_view peer, const support::json& frame);

    /// Issues what is due and repeats waiting requests.
    void tick();

    [[nodiscard]] std::size_t outstanding() const;

private:
    struct waiting_request {
        double urgency = 0;
        support::time_point asked_at;
        bool asked = false;
    };
    struct issued {
        std::string peer;
        std::int64_t stamp_ms = 0;
    };
    using place = std::pair<std::string, std::string>;

    [[nodiscard]] std::string holder() const;
    void ask(const place& where, waiting_request& item, const std::string& holder_peer);
    void forget_request(const place& where);
    void on_request(std::string_view peer, const support::json& frame);
    void on_granted(std::string_view peer, const support::json& frame);
    std::vector<support::json> issue(std::vector<std::string>& peers);

    node_context& context_;
    member_table& members_;
    hooks hooks_;
    mutable std::mutex mutex_;
    std::map<place, waiting_request> waiting_;
    std::optional<policy::load_permits> permits_;
    ledger::position permits_fence_ = 0;
    std::map<place, issued> requesters_;
};

} // namespace dragonflystair::node
