#pragma once

#include "dragonflystair/fleet/adapter_planner.h"
#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/fleet/keyed_record.h"
#include "dragonflystair/fleet/load_reports.h"
#include "dragonflystair/support/json.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dragonflystair::gateway {

/// A lease on the engines of one data centre, as its holder tells it.
struct held_lease {
    std::string data_centre;
    std::uint64_t fence = 0;
    bool active = false; ///< Whether it gives orders already.
};

/// What each node tells all others twice a second.
struct node_status {
    std::string name;
    std::string data_centre;
    std::string caller_address;
    bool ready = false;
    bool leaving = false;
    bool reads_store = false; ///< It reads the store itself and gets answers.
    std::vector<held_lease> leases;
    /// Leases that other nodes hold, as this one heard lately; told within the data centre.
    std::vector<held_lease> heard_leases;
    /// Name of the node that leads this node's data centre, for nodes of others; empty if unknown.
    std::string lead;
    std::map<std::string, std::uint64_t> topic_ends; ///< How far its copies of topics reach.
};

/// Frames between nodes. `type` names the kind; other members have short names since
/// bytes between regions are paid by volume. Decoders return nothing for a damaged frame.
support::json status_frame(const node_status& status);
std::optional<node_status> decode_status(const support::json& frame);

support::json loads_frame(const fleet::load_report& report);
fleet::load_report decode_loads(const support::json& frame);

/// What the holder of a data centre's lease should know of the calls of a node.
struct demand_notice {
    std::string data_centre;
    std::vector<fleet::adapter_demand> demand;
    std::map<fleet::model_name, std::size_t> used; ///< With the calls sent since the last time.
};

support::json demand_frame(const demand_notice& notice);
demand_notice decode_demand(const support::json& frame);

support::json residency_frame(std::span<const fleet::residency_change> changes);
std::vector<fleet::residency_change> decode_residency(const support::json& frame);

support::json records_request(const std::string& topic, std::uint64_t from);
support::json records_frame(const std::string& topic, const fleet::keyed_page& page);
fleet::keyed_page decode_records(const support::json& frame);

/// What an endpoint said about itself in an answer to a peer.
struct endpoint_news {
    std::string endpoint;
    std::uint64_t started_ms = 0; ///< Start of the run that said it.
    bool leaving = false;
    std::chrono::milliseconds pause{0}; ///< Left of the time that it wants to be left alone.
};

support::json endpoint_news_frame(const endpoint_news& news);
std::optional<endpoint_news> decode_endpoint_news(const support::json& frame);

support::json lost_connection_frame(std::uint64_t fingerprint);

} // namespace dragonflystair::gateway
