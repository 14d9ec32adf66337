#pragma once

#include "dragonflystair/net/http_client.h"

#include "guarantee_checker.h"
#include "soak_cluster.h"
#include "tenant_checker.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

namespace dragonflystair::soak {

/// A set of callers, each of which repeatedly resolves a gateway's address and sends one call at a
/// time to it. Every second caller keeps an address until its process no longer answers. Unary
/// calls reuse keep-alive connections until these close.
class soak_callers {
public:
    soak_callers(const net::executor& context, const soak_cluster& cluster,
                 guarantee_checker& checked, std::uint64_t seed, tenant_checker* tenants);

    void start(std::size_t count);
    /// Lets further callers of a tenant call without pauses; returns the function that ends them.
    std::function<void()> begin_surge(std::size_t tenant);
    /// Starts no further calls and blocks until those in flight have ended.
    void stop();

private:
    /// What one caller does.
    struct role {
        std::size_t number = 0;
        std::size_t tenant = 0;
        int longest_pause_ms = 0;
        std::shared_ptr<const std::atomic<bool>> ended; ///< Null if it calls until `stop`.
    };

    void start_caller(const role& chosen);
    net::awaitable<void> run_caller(role chosen);
    net::awaitable<void> observe_stalls();
    net::awaitable<std::string> resolve(std::size_t number);
    /// Sends one call. Returns whether it was answered.
    net::awaitable<bool> call(std::string address, call_kind kind, std::string id, int adapter,
                              std::size_t tenant, std::uint64_t draw);
    net::awaitable<bool> call_plain(std::string address, net::http_request request, std::string id);
    net::awaitable<bool> call_stream(std::string address, net::http_request request,
                                     std::string id);

    net::executor context_;
    const soak_cluster& cluster_;
    guarantee_checker& checked_;
    std::uint64_t seed_;
    tenant_checker* tenants_;
    net::http_client client_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> active_{0};
    std::atomic<std::uint64_t> next_id_{1};
};

} // namespace dragonflystair::soak
