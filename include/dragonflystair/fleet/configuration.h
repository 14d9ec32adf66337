#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// What may be repeated of a call.
enum class call_kind {
    safe,   ///< May run any number of times.
    unsafe, ///< Runs at most once.
    stream, ///< A generation; runs at most once unless its route is resumable.
};

/// A service that a route may choose, with its share of the calls.
struct weighted_service {
    std::string service;
    double weight = 1;
};

/// Which calls go to which service, and how they are treated.
struct route {
    std::string name;
    std::string host;
    std::string path_prefix; ///< Begins and ends with a slash.
    call_kind kind = call_kind::safe;
    std::chrono::milliseconds timeout{0};   ///< Longest time until the final answer.
    std::chrono::milliseconds objective{0}; ///< Time to the answer or first event that is on time.
    std::chrono::milliseconds max_event_gap{0}; ///< Between events of a stream that is on time.
    std::size_t attempts = 1;                   ///< Endpoints on which one call may run.
    int priority = 0;                           ///< 0 is the most urgent.
    bool resumable = false;
    std::vector<weighted_service> services; ///< At least one.

    /// Whether a call may run on a second endpoint after it may have run on the first.
    [[nodiscard]] bool idempotent() const { return kind == call_kind::safe || resumable; }
};

/// A base model that the engines of a service can hold.
struct base_model {
    std::string name;
    double weights_mb = 0;
    double adapter_mb = 0;
    std::chrono::milliseconds load_time{0};
};

/// What the engines of a service have in common.
struct engine_class {
    std::size_t batch_slots = 0;
    std::size_t cache_tokens = 0; ///< Key-value cache of one engine.
    double weights_mb = 0;        ///< Memory for base models and adapters together.
    std::size_t adapter_slots = 0;
    std::vector<base_model> models;

    /// The model of that name, or null.
    [[nodiscard]] const base_model* find(std::string_view name) const;
};

struct service {
    std::string name;
    std::size_t max_connections = 0; ///< That one endpoint accepts from all callers; 0 is unknown.
    bool has_engines = false;
    engine_class engines;
};

/// Limits on what a caller may send.
struct caller_limits {
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    std::chrono::milliseconds header_timeout{3'000};
    std::chrono::milliseconds idle_timeout{15'000};
};

/// One whole configuration as the operator published it.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::map<std::string, service, std::less<>> services;
    caller_limits limits;

    /// Route of the host with the longest prefix that begins the path, or null.
    [[nodiscard]] const route* match(std::string_view host, std::string_view path) const;
    [[nodiscard]] const service* find_service(std::string_view name) const;
};

} // namespace dragonflystair::fleet
