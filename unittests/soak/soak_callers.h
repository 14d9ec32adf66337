#pragma once

#include "dragonflystair/net/http_client.h"

#include "promises.h"
#include "soak_cluster.h"

#include <array>
#include <atomic>
#include <cstdint>
#include <memory>
#include <random>
#include <string>

namespace dragonflystair::soak {

/// Callers that ask which address to use, connect there and call one after another. Plain calls
/// use kept connections until these close.
class soak_callers {
public:
    soak_callers(const net::executor& context, const soak_cluster& cluster, promises& checked,
                 std::uint64_t seed);

    void start(std::size_t count);
    /// No new calls; returns once the last has ended.
    void stop();

private:
    net::awaitable<void> call_in_turn(std::size_t number);
    net::awaitable<std::string> resolve(std::size_t number);
    net::awaitable<void> call(std::string address, call_kind kind, std::string id, int adapter);
    net::awaitable<void> call_plain(std::string address, net::http_request request, std::string id);
    net::awaitable<void> call_stream(std::string address, net::http_request request,
                                     std::string id);

    net::executor context_;
    const soak_cluster& cluster_;
    promises& checked_;
    std::uint64_t seed_;
    net::http_client client_;
    std::atomic<bool> stopping_{false};
    std::atomic<std::size_t> active_{0};
    std::atomic<std::uint64_t> next_id_{1};
};

} // namespace dragonflystair::soak
