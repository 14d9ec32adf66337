#pragma once

#include "dragonflystair/fleet/endpoint_watch.h"
#include "dragonflystair/fleet/load_reports.h"
#include "dragonflystair/fleet/permit_divider.h"
#include "dragonflystair/fleet/quota_allocator.h"
#include "dragonflystair/fleet/residency_batch.h"
#include "dragonflystair/fleet/store_readers.h"
#include "dragonflystair/gateway/gateway.h"
#include "dragonflystair/net/http_client.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/net/peer_network.h"
#include "dragonflystair/support/counters.h"
#include "dragonflystair/support/latency_histogram.h"

#include "call_placer.h"
#include "call_relay.h"
#include "node_view.h"
#include "peer_frames.h"
#include "placement_holder.h"
#include "platform/endpoint_client.h"
#include "platform/store_client.h"
#include "store_follower.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::gateway {

/// A connected peer and its last reported state.
struct peer_state {
    node_status status;
    std::vector<std::string> loaded_endpoints; ///< Endpoints in its last loads frame.
    support::time_point status_received;       ///< When `status` arrived.
};

/// A node as registered in the store.
struct registered_node {
    std::string peer_address;
    std::string data_centre;
    double cores = 0; ///< Processors, may be fractional; nodes with more are preferred as leads.
};

/// Implementation of the gateway: connects the components of a node and runs its control loop.
struct gateway::impl {
    impl(const config::gateway_settings& settings, settings_source reload);

    int run();
    [[nodiscard]] std::string caller_address() const { return caller_server_.address(); }
    [[nodiscard]] std::string peer_address() const { return network_.address(); }

private:
    net::http_server_options caller_options(const config::gateway_settings& settings);

    // Records of the store (gateway_records.cpp).
    void on_operator_records(std::span<const fleet::keyed_record> records);
    void on_endpoint_records(std::span<const fleet::keyed_record> records);
    void on_node_records(std::span<const fleet::keyed_record> records);
    void on_configuration(const fleet::keyed_record& record);
    void on_version(const fleet::keyed_record& record);
    void reattribute_answers(const fleet::endpoint_record& record, std::uint64_t former_run);
    void note_doubted_record(const fleet::keyed_record& record, std::uint64_t started_ms);
    void remove_gone_endpoints();
    void send_removals(std::string_view peer);
    void on_removals(const support::json& frame);
    net::awaitable<void> register_node();
    void on_store_era(std::uint64_t era);
    void restore_registration();

    // Peers (gateway_peers.cpp).
    using frame_handler = void (*)(impl&, std::string_view peer, const support::json& frame);
    static const std::map<std::string, frame_handler, std::less<>>& frame_handlers();
    void on_frame(std::string_view peer, const support::json& frame);
    void on_residency(std::string_view peer, const support::json& frame);
    void on_status(std::string_view peer, const node_status& status);
    void on_loads(std::string_view peer, const support::json& frame);
    void on_demand(const demand_notice& notice);
    void on_peer_down(std::string_view peer);
    void dial_peers();
    /// Sends this node's status to the peers of its data centre or, if `to_all`, to all peers.
    void send_status(bool to_all);
    /// Sends a frame to the peers of this node's data centre.
    void send_to_own_data_centre(const support::json& frame);
    void update_readers(std::string_view peer, const node_status& status);
    [[nodiscard]] bool has_reader() const {
        return readers_.has_reader(support::boot_clock::now());
    }
    [[nodiscard]] bool in_own_data_centre(const peer_state& peer) const {
        return peer.status.data_centre == view_.settings.data_centre;
    }
    void send_loads();
    void publish_frame(const support::json& frame);
    void forward_frame(std::string_view peer, const support::json& frame);
    void send_to_leads(const support::json& frame);
    void send_demand(bool include_used);
    void send_demand_notice(const demand_notice& notice);
    [[nodiscard]] node_status own_status();

    // Residency of adapters (gateway_residency.cpp).
    void send_residency(std::span<const fleet::residency_change> changes);
    void forward_residency(std::string_view peer, std::span<const fleet::residency_change> changes);
    void send_residency_to_leads(std::span<const fleet::residency_change> changes);
    void send_all_residency(std::string_view peer);
    void flush_residency();
    void apply_residency(std::span<const fleet::residency_change> changes);

    // Records of peers (gateway_record_frames.cpp).
    void request_records(std::string_view peer, const node_status& status);
    void request_records(std::string_view peer, const store_follower& follower);
    void request_all_records(std::string_view peer, const store_follower& follower);
    void on_records(std::string_view peer, const support::json& frame);
    void on_records_request(std::string_view peer, const support::json& frame);
    void forward_records(const std::string& topic, const fleet::keyed_page& page);

    // Freshness of the configuration (gateway_freshness.cpp).
    void request_freshness();
    void on_freshness_request(std::string_view peer, const support::json& frame);
    void on_freshness_answer(const support::json& frame);

    // Notices of endpoints in their responses (gateway_notices.cpp).
    void on_notice(std::string_view endpoint, std::uint64_t started_ms,
                   platform::endpoint_notice notice, support::time_point sent);
    void on_peer_notice(std::string_view peer, const support::json& frame);
    bool mark_leaving(std::string_view endpoint, std::uint64_t started_ms, std::string_view source);
    void apply_leaving(const fleet::endpoint_record& record, std::string_view source);
    void apply_pause(std::string_view endpoint, support::time_point until, std::string_view source);

    // Crashes of endpoints (gateway_crashes.cpp).
    void update_crashes();
    void publish_evidence(const support::json& frame);
    void on_crash_evidence(std::string_view peer, const support::json& frame);
    void on_crash_conclusions(std::string_view peer, const support::json& frame);
    void send_blocks(std::string_view peer);
    void apply_block_changes();
    [[nodiscard]] support::duration test_delay(const fleet::trait& what) const;

    // Rate limits of endpoints (gateway_limits.cpp).
    bool on_limit(std::string_view endpoint, const fleet::limit_observation& observed,
                  std::string_view source);
    void on_peer_limit(std::string_view peer, const support::json& frame);
    void apply_limit(std::string_view endpoint);
    void send_limits(std::string_view peer);
    void log_limited_use();
    void log_memory_limit();
    bool update_permits();
    void send_permit_requests(std::span<const fleet::permit_request> requests,
                              support::time_point now);
    void on_permit_requests(std::string_view peer, const support::json& frame);
    void on_permit_answer(const support::json& frame);
    bool send_grants();
    void schedule_grants();
    bool take_order_permit(std::string_view endpoint);
    [[nodiscard]] bool divides(std::string_view data_centre) const;
    [[nodiscard]] std::string divider_for(std::string_view data_centre) const;
    [[nodiscard]] std::string data_centre_of(std::string_view endpoint) const;

    // Quotas of tenants (gateway_quotas.cpp).
    [[nodiscard]] std::string_view quota_data_centre() const;
    void configure_quotas(const fleet::configuration& configuration);
    void update_quotas();
    void send_quota_request();
    void report_nodes_in_touch();
    void report_nodes_in_touch(const std::string& data_centre);
    void on_quota_request(std::string_view peer, const support::json& frame);
    void send_quota_grants();
    void on_quota_grant(const support::json& frame);

    // Leads and leases (gateway_leads.cpp).
    [[nodiscard]] bool holds_lease() const;
    /// Whether this node holds the lease of its own data centre.
    [[nodiscard]] bool leads_own_data_centre() const;
    [[nodiscard]] std::vector<held_lease> observed_leases() const;
    [[nodiscard]] std::string lead_name() const;
    [[nodiscard]] std::vector<std::string> lead_order(const std::string& data_centre,
                                                      std::span<const std::string> names) const;
    [[nodiscard]] std::size_t rank_for(const std::string& data_centre) const;
    [[nodiscard]] bool loads_possible() const;
    [[nodiscard]] bool leads_place_calls() const;
    [[nodiscard]] std::string nearest_lead() const;
    [[nodiscard]] std::string lead_of(std::string_view data_centre) const;
    [[nodiscard]] std::string lease_holder(const std::string& data_centre) const;

    // Calls, the control loop and shutdown (gateway_impl.cpp).
    void pump();
    void schedule_pump();
    net::awaitable<void> tick_loop();
    void tick();
    net::awaitable<void> serve_ready(net::http_exchange& exchange);
    net::awaitable<void> serve_resolve(net::http_exchange& exchange);
    net::awaitable<void> serve_metrics(net::http_exchange& exchange);
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::vector<std::string> addresses_for(std::string_view data_centre) const;
    void wait_for_signal();
    void reload_settings();
    [[nodiscard]] bool other_node_ready() const;
    net::awaitable<void> shut_down();
    store_follower::hooks operator_hooks();
    placement_holder& holder_for(const std::string& data_centre);
    store_follower::hooks
    follower_hooks(std::function<void(std::span<const fleet::keyed_record>)> on_records);

    boost::asio::io_context io_;
    settings_source reload_;
    support::counters counters_;
    support::latency_histogram first_byte_latency_;
    node_view view_;
    net::http_client store_http_;
    net::http_client engine_http_;
    platform::store_client store_;
    platform::endpoint_client engines_;
    fleet::endpoint_watch watch_;
    fleet::store_readers readers_;
    call_placer placer_;
    call_relay relay_;
    store_follower operator_records_;
    store_follower endpoint_records_;
    store_follower node_records_;
    net::peer_network network_;
    std::map<std::string, peer_state, std::less<>> peers_; ///< By incarnation.
    std::map<std::string, registered_node> registered_nodes_;
    std::map<std::string, std::shared_ptr<placement_holder>, std::less<>> holders_;
    fleet::permit_divider divider_;
    /// Peers over which requests for permits came, by the incarnation of the requesting node.
    std::map<std::string, std::string, std::less<>> permit_routes_;
    bool reserves_quota_shares_ = false; ///< For nodes that are not in touch with the allocator.
    fleet::quota_allocator quota_allocator_;
    /// Peers over which requests for tokens came, by the incarnation of the requesting node.
    std::map<std::string, std::string, std::less<>> quota_routes_;
    fleet::load_reports load_reports_;
    fleet::residency_batch pending_residency_;
    std::map<std::string, support::time_point> records_requested_;
    net::http_server caller_server_;
    net::http_server ready_server_;
    net::http_server resolve_server_;
    net::http_server metrics_server_;
    boost::asio::signal_set signals_;
    boost::asio::steady_timer pump_timer_;
    boost::asio::steady_timer grant_timer_;
    support::time_point last_caller_request_;
    bool pumping_ = false;
    bool memory_limited_ = false;             ///< Engines were passed over in the last second.
    std::optional<std::uint64_t> listed_era_; ///< Era of the last records of endpoints.
    bool registering_ = false;
    std::uint64_t registered_era_ = 0; ///< Era of the store that has confirmed this node's record.
    std::uint64_t ticks_ = 0;
};

} // namespace dragonflystair::gateway
