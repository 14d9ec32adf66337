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

/// The endpoints that this node owns, kept in step with the grants on the log.
class owner_table {
public:
    owner_table(owner_services services, const config_table& config, endpoint_directory& directory);

    /// Creates, retires and marks as leaving what the tables say. True if a load has changed so
    /// much that peers should be told now.
    bool tick();

    [[nodiscard]] std::shared_ptr<owned_endpoint> find(std::string_view endpoint) const;
    [[nodiscard]] std::vector<std::shared_ptr<owned_endpoint>> all() const;

    /// Cancels an attempt, wherever it runs; ids are unique.
    void cancel(const std::string& attempt);

    /// Requests that run here, also on endpoints whose grant has gone to another node.
    [[nodiscard]] std::size_t running() const;

    /// Warms adapters that leaving endpoints of a service hold on endpoints that stay.
    void warm_replacements();

private:
    void take_over(const std::string& endpoint, ledger::position fence);
    void retire_lost(const std::vector<std::string>& held);

    owner_services services_;
    const config_table& config_;
    endpoint_directory& directory_;
    mutable std::mutex mutex_;
    std::map<std::string, std::shared_ptr<owned_endpoint>, std::less<>> owned_;
    std::vector<std::shared_ptr<owned_endpoint>> retired_;
};

} // namespace dragonflystair::node
