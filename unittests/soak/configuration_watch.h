#pragma once

#include "dragonflystair/net/http_client.h"
#include "dragonflystair/support/time.h"

#include "guarantee_checker.h"
#include "soak_gateway.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace dragonflystair::soak {

/// Checks that each gateway has the acknowledged configurations in force in time and never goes
/// back to an older one while its process runs. A version has a route of its own, which no other
/// version has, so that the route's status 404 tells that the version is not in force.
class configuration_watch {
public:
    configuration_watch(const net::executor& context, guarantee_checker& checked,
                        std::string store_address);

    /// Records a version that the operator has written, maybe once more.
    void note_written(std::uint64_t version, bool acknowledged);
    /// Checks a gateway until `stop`; must outlive it.
    void observe(const soak_gateway& target);
    /// Blocks until the checks in progress have ended.
    void stop();

private:
    net::awaitable<void> run(const soak_gateway& target);
    net::awaitable<std::optional<std::uint64_t>> find_version(const soak_gateway& target,
                                                              std::uint64_t from);
    net::awaitable<int> probe(const soak_gateway& target, std::uint64_t version);
    std::uint64_t due_version(const soak_gateway& target) const;
    std::optional<std::uint64_t> version_from(std::uint64_t from) const;

    net::executor context_;
    guarantee_checker& checked_;
    std::string store_address_;
    net::http_client client_;
    mutable std::mutex mutex_;
    /// Times of the last acknowledgement by version; `max` if there is none.
    std::map<std::uint64_t, support::time_point> acknowledged_at_;
    std::atomic<std::uint64_t> probes_{0};
    std::atomic<bool> stopping_{false};
    std::atomic<int> active_{0};
};

} // namespace dragonflystair::soak
