#pragma once

#include "config_table.h"
#include "endpoint_directory.h"
#include "owned_endpoint.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::node {

/// The endpoints that this node owns, synchronized with the grants on the log.
class owner_table {
public:
    owner_table(owner_services services, const config_table& config, endpoint_directory& directory);

    /// Creates, retires and marks endpoints as leaving according to the member table and the
    /// endpoint directory. Returns true if the load of an endpoint has changed enough to be
    /// reported to peers now.
    bool tick();

    /// Returns the owned endpoint, or null if this node does not own it.
    [[nodiscard]] std::shared_ptr<owned_endpoint> find(std::string_view endpoint) const;
    [[nodiscard]] std::vector<std::shared_ptr<owned_endpoint>> all() const;

    /// Cancels an attempt on whichever endpoint runs it; attempt ids are unique.
    void cancel(const std::string& attempt);

    /// Returns the number of requests running on this node's endpoints, including endpoints whose
    /// grant has passed to another node.
    [[nodiscard]] std::size_t running() const;

    /// Prefetches the adapters resident on leaving endpoints on the remaining endpoints of the same
    /// service.
    void warm_replacements();

private:
    /// Creates the owned endpoint for a grant; retires an instance with another fencing number.
    void take_over(const std::string& endpoint, ledger::position fence);
    /// Retires the endpoints that are not in `held`, the endpoints granted to this node.
    void retire_lost(const std::vector<std::string>& held);

    owner_services services_;
    const config_table& config_;
    endpoint_directory& directory_;
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<owned_endpoint>, std::less<>> owned_;
    /// Retired endpoints, kept until their running requests have ended.
    std::vector<std::shared_ptr<owned_endpoint>> retired_;
};

} // namespace dragonflystair::node
