#pragma once

#include "dragonflystair/membership/node_lifecycle.h"
#include "dragonflystair/net/http_client.h"
#include "dragonflystair/net/http_server.h"
#include "dragonflystair/net/log_client.h"
#include "dragonflystair/net/peer_network.h"
#include "dragonflystair/net/vm_list_client.h"
#include "dragonflystair/node/node.h"

#include "attempt_registry.h"
#include "caller_api.h"
#include "claim_table.h"
#include "config_table.h"
#include "crash_table.h"
#include "endpoint_directory.h"
#include "key_inquiry.h"
#include "log_follower.h"
#include "log_writer.h"
#include "member_table.h"
#include "model_calls.h"
#include "node_context.h"
#include "operator_api.h"
#include "owner_table.h"
#include "peer_protocol.h"
#include "peer_table.h"
#include "permit_broker.h"
#include "plain_calls.h"
#include "resolver.h"
#include "session_agent.h"
#include "snapshot_keeper.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <memory>
#include <mutex>
#include <string>

namespace dragonflystair::node {

/// All components of a node, declared in the order of their dependencies. Callbacks may also use
/// components that are declared later.
struct node::impl {
    explicit impl(config::settings values);

    int run();

    boost::asio::io_context io;
    node_context context;
    net::http_client http;
    net::log_client log;
    net::vm_list_client vm_list;
    net::engine_client engines;

    std::mutex lifecycle_mutex;
    membership::node_lifecycle lifecycle;
    /// Time until which a draining node takes calls: the longest that callers keep its address.
    support::time_point callers_leave_by;

    config_table config;
    member_table members;
    endpoint_directory directory;
    crash_table crashes;
    attempt_registry remote_attempts;
    peer_table peers;

    std::shared_ptr<log_writer> config_writer;
    std::shared_ptr<log_writer> member_writer;
    std::shared_ptr<log_writer> claim_writer;

    permit_broker permits;
    owner_table owners;
    claim_table claims;
    key_inquiry inquiry;
    model_calls models;
    plain_calls plain;
    resolver resolve;
    caller_api callers;
    operator_api operators;
    peer_protocol protocol;

    snapshot_keeper config_snapshots;
    snapshot_keeper member_snapshots;
    snapshot_keeper claim_snapshots;
    log_follower config_follower;
    log_follower member_follower;
    log_follower claim_follower;

    net::peer_network network;
    net::http_server caller_server;
    net::http_server operator_server;
    session_agent agent;
    boost::asio::signal_set signals;

    bool was_cut_off = false;

private:
    [[nodiscard]] bool accepts_callers();
    [[nodiscard]] bool serves_callers();
    [[nodiscard]] bool draining();
    [[nodiscard]] std::vector<std::string> model_names() const;
    [[nodiscard]] policy::store_limits store_limits() const;
    [[nodiscard]] std::vector<membership::ownable_resource> ownables() const;
    [[nodiscard]] ledger::session_open session_record() const;
    [[nodiscard]] support::json fold_state(const std::string& stream) const;
    void restore_fold(const std::string& stream, const support::json& state);
    void update_gauges();

    template <class Table>
    log_follower::hooks follower_hooks(Table& table, log_writer& writer,
                                       snapshot_keeper& snapshots);

    net::awaitable<void> tick_loop();
    net::awaitable<void> heartbeat_loop();
    net::awaitable<void> vm_list_loop();
    void check_reachability();
    void dial_peers();
    void wait_for_signal();
    net::awaitable<void> shut_down();
    [[nodiscard]] bool idle();

    ledger::position applied_revision_ = 0;
    support::time_point last_contact_;
};

} // namespace dragonflystair::node
