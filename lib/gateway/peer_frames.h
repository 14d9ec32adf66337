#pragma once

#include "dragonflystair/fleet/adapter_planner.h"
#include "dragonflystair/fleet/announced_limits.h"
#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/fleet/endpoint_watch.h"
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

/// A lease on the engines of one data centre, as reported by its holder.
struct held_lease {
    std::string data_centre;
    std::uint64_t fence = 0;
    bool active = false; ///< The holder may already send orders.
};

/// Status that each node sends to the peers of its data centre twice a second, and that lease
/// holders send to all peers every second.
struct node_status {
    std::string name;
    std::string data_centre;
    std::string caller_address;
    bool ready = false;
    bool leaving = false;
    bool reads_store = false; ///< It reads the store itself and gets responses.
    /// Time since the store's last answer to this node.
    std::chrono::milliseconds store_silence{0};
    std::vector<held_lease> leases;
    /// Leases that nodes of other data centres have recently reported to this one.
    std::vector<held_lease> observed_leases;
    /// Name of the node that leads this node's data centre, for nodes of other data centres; empty
    /// if unknown.
    std::string lead;
    /// Ends of the node's copies of topics.
    std::map<std::string, fleet::log_position> topic_ends;
    /// Sum of the versions that the operator's values have in its copy.
    std::uint64_t version_sum = 0;
};

/// Frames between nodes. `type` identifies the kind; all members have short names since traffic
/// between regions is billed by volume. Decoders return `std::nullopt`, or leave damaged rows out,
/// if a frame is damaged.
support::json status_frame(const node_status& status);
std::optional<node_status> decode_status(const support::json& frame);

support::json loads_frame(const fleet::load_report& report);
fleet::load_report decode_loads(const support::json& frame);

/// Demand of a node's calls for adapters, as sent to the holder of a data centre's lease.
struct demand_notice {
    std::string data_centre;
    std::vector<fleet::adapter_demand> demand;
    std::map<fleet::model_name, std::size_t> used; ///< Calls sent since the last notice.
};

support::json demand_frame(const demand_notice& notice);
demand_notice decode_demand(const support::json& frame);

support::json residency_frame(std::span<const fleet::residency_change> changes);
std::vector<fleet::residency_change> decode_residency(const support::json& frame);

/// A request for the records of a topic that a copy which ends at `end` lacks.
support::json records_request(const std::string& topic, fleet::log_position end);
fleet::log_position decode_records_request(const support::json& frame);
support::json records_frame(const std::string& topic, const fleet::keyed_page& page);
/// Marks a frame with records that the sender has just read from the store, unlike records of its
/// copy that a peer has requested.
void mark_as_read(support::json& frame);
bool was_just_read(const support::json& frame);
fleet::keyed_page decode_records(const support::json& frame);

/// Endpoints that were removed just before a peer was connected.
support::json removals_frame(std::span<const fleet::removed_endpoint> removed);
std::vector<fleet::removed_endpoint> decode_removals(const support::json& frame);

/// Notice about itself that an endpoint included in a response to a peer.
struct forwarded_notice {
    std::string endpoint;
    std::uint64_t started_ms = 0; ///< Start time of the run of the endpoint.
    bool leaving = false;
    std::chrono::milliseconds pause{0}; ///< Time left of the pause that it requested.
};

support::json forwarded_notice_frame(const forwarded_notice& notice);
std::optional<forwarded_notice> decode_forwarded_notice(const support::json& frame);

/// What a node knows of an endpoint's rate limit; relayed like a notice.
struct forwarded_limit {
    std::string endpoint;
    fleet::limit_observation observed;
};

/// Times are sent relative to `now`, since the clocks of nodes differ.
support::json limit_frame(const forwarded_limit& limit, support::time_point now);
std::optional<forwarded_limit> decode_limit(const support::json& frame, support::time_point now);

/// A node's requests for permits, sent to the divider of the endpoints' data centre, or to the lead
/// of its own one, which forwards them.
struct permit_requests {
    std::string origin; ///< Incarnation of the requesting node.
    /// When the origin sent them, in nanoseconds of its own clock; repeated in the answer.
    std::uint64_t request = 0;
    struct row {
        forwarded_limit limit;
        std::size_t wanted = 0;
    };
    std::vector<row> rows;
};

support::json permit_request_frame(const permit_requests& requests, support::time_point now);
std::optional<permit_requests> decode_permit_requests(const support::json& frame,
                                                      support::time_point now);

/// A divider's answer to one row; relayed to the origin by the node that forwarded the request.
struct permit_answer {
    std::string origin;
    std::uint64_t request = 0;
    std::string endpoint;
    std::size_t count = 0;
    std::chrono::milliseconds next_in{0};  ///< Expected time until the origin's next permit.
    std::chrono::milliseconds interval{0}; ///< Between its further permits.
};

support::json permit_answer_frame(const permit_answer& answer);
std::optional<permit_answer> decode_permit_answer(const support::json& frame);

} // namespace dragonflystair::gateway
