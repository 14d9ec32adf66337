#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

/// An adapter that is resident on an engine.
struct resident_adapter {
    std::string name;
    std::uint64_t version = 0;
};

/// A base model that is resident on an engine, with its adapters.
struct resident_model {
    std::string name;
    std::uint64_t version = 0;
    std::vector<resident_adapter> adapters;
};

/// The last state that an endpoint published in the platform's VM list.
struct endpoint_record {
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT
    std::string data_centre;
    std::size_t slots = 0;
    bool draining = false;
    std::uint64_t started_ms = 0; ///< Unix time of its start; identifies a run of the endpoint.
    std::uint64_t orders_accepted = 0;
    std::vector<resident_model> models;
};

/// Returns a short number, never 0, that tells the runs of one endpoint apart.
inline std::uint64_t run_tag_of(std::uint64_t started_ms) {
    constexpr std::uint64_t tags = 9'999;
    return 1 + started_ms % tags;
}

/// The state that an engine reports on request; more recent than its record.
struct engine_report {
    std::uint64_t started_ms = 0;
    std::uint64_t orders_accepted = 0;
    bool busy = false; ///< An order on a base model is in progress.
    std::vector<resident_model> models;
    std::vector<std::string> pending; ///< Adapters being loaded, as MODEL/NAME@VERSION.
};

} // namespace dragonflystair::fleet
