#pragma once

#include "dragonflystair/net/http_client.h"

#include "guarantee_checker.h"
#include "soak_cluster.h"

#include <array>
#include <atomic>
#include <cstdint>
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
                 guarantee_checker& checked, std::uint64_t seed);

    void start(std::size_t count);
    /// Starts no further calls and blocks until those in flight have ended.
    void stop();

private:
    net::awaitable<void> run_caller(std::size_t number);
    net::awaitable<std::string> resolve(std::size_t number);
    /// Sends one call. Returns whether it was answered.
    net::awaitable<bool> call(std::string address, call_kind kind, std::string id, int adapter);
    net::awaitable<bool> call_plain(std::string address, net::http_request request, std::string id);
    net::awaitable<bool> call_stream(std::string address, net::http_request request,
                                     std::string id);

    net::executor context_;
    const soak_cluster& cluster_;
    guarantee_checker& checked_;
    std::uint64_t seed_;
    net::http_client client_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> active_{0};
    std::atomic<std::uint64_t> next_id_{1};
};

} // namespace dragonflystair::soak
