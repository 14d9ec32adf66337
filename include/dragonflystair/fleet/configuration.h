#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Whether and how a call may be repeated.
enum class call_kind {
    safe,   ///< May run any number of times.
    unsafe, ///< Runs at most once.
    stream, ///< A streamed generation; runs at most once unless its route is resumable.
};

/// A service that a route may choose, with its relative share of the calls.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Maps calls, by host and path prefix, to services and sets their timeouts, attempts and priority.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    call_kind kind = call_kind::safe;
    std::chrono::milliseconds timeout{0};   ///< Limit on the time to the final answer.
    std::chrono::milliseconds objective{0}; ///< Target for the time to the answer or first event.
    std::chrono::milliseconds max_event_gap{0}; ///< Target for the time between events of a stream.
    std::size_t attempts = 1; ///< Number of endpoints on which one call may be tried.
    int priority = 0;         ///< 0 is the most urgent.
    bool resumable = false;
    bool anonymous = false; ///< Its calls need no key, even if the configuration has tenants.
    std::vector<weighted_service> services; ///< At least one.

    /// Returns whether a call may be sent to a second endpoint after the first may have run it.
    [[nodiscard]] bool idempotent() const { return kind == call_kind::safe || resumable; }
};

/// A base model that the engines of a service can load.
struct base_model {
    std::string name;
    double weights_mb = 0;
    double adapter_mb = 0;
    std::chrono::milliseconds load_time{0};
};

/// Capacity and loadable models that all engines of a service share.
struct engine_class {
    std::size_t batch_slots = 0;
    std::size_t cache_tokens = 0; ///< Capacity of one engine's key-value cache.
    double weights_mb = 0;        ///< Memory of one engine for base models and adapters together.
    std::size_t adapter_slots = 0;
    std::vector<base_model> models;

    /// Returns the model of that name, or null.
    [[nodiscard]] const base_model* find(std::string_view name) const;
};

struct service {
    std::string name;
    std::size_t max_connections = 0; ///< Limit of one endpoint over all callers; 0 if unknown.
    bool has_engines = false;
    engine_class engines;
};

/// What a tenant's quota counts.
enum class quota_unit { requests, tokens };

/// A customer whose calls are identified by keys.
struct tenant {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Takes precedence over the route's.
    quota_unit unit = quota_unit::requests;
    /// Units that a call counts as if it does not say how many tokens it may use.
    std::size_t plain_call_tokens = 0;
    double rate_per_s = 0; ///< Units a second over all nodes; 0 if there is no quota.
    double burst = 0;      ///< Units beyond the rate.
};

/// Size limits and timeouts for requests of callers.
struct caller_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// One complete configuration as the operator published it.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service, std::less<>> services;
    caller_limits limits;
    bool has_tenants = false; ///< Whether calls need a key; `tenants` may be empty nevertheless.
    std::vector<tenant> tenants;

    /// Returns the host's route with the longest prefix that matches the path, or null.
    [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;
    [[nodiscard]] const tenant* find_tenant(std::string_view name) const;
};

} // namespace dragonflystair::fleet
