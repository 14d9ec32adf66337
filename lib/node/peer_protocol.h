#pragma once

#include "dragonflystair/support/json.h"

#include "attempt_registry.h"
#include "config_table.h"
#include "crash_table.h"
#include "endpoint_directory.h"
#include "key_inquiry.h"
#include "log_follower.h"
#include "node_context.h"
#include "owner_table.h"
#include "peer_table.h"
#include "permit_broker.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::node {

/// Services of the node that the peer protocol uses.
struct peer_services {
    node_context& context;
    const config_table& config;
    endpoint_directory& directory;
    owner_table& owners;
    attempt_registry& remote_attempts;
    crash_table& crashes;
    peer_table& peers;
    permit_broker& permits;
    key_inquiry& inquiry;
    std::function<bool(std::string_view peer, const support::json& frame)> send;
    std::function<void(const support::json& frame)> broadcast;
    std::function<std::vector<std::string>()> connected;
    std::function<bool()> accepts_callers;
    std::function<bool()> promises_no_takeover;
    /// A peer's promise not to take over, or its lack, with the echo of this node's stamp.
    std::function<void(std::string_view peer, bool promises, support::time_point echo)> on_promise;
    /// State of a stream's fold for a peer that cannot reach the log.
    std::function<support::json(const std::string& stream)> fold_state;
    std::function<void(const std::string& stream, const support::json& state)> restore_fold;
};

/// Meaning of the frames between nodes.
class peer_protocol {
public:
    static constexpr std::chrono::milliseconds heartbeat_period{1'000};

    explicit peer_protocol(peer_services services);

    void on_frame(std::string_view peer, const support::json& frame);
    void on_up(std::string_view peer);
    void on_down(std::string_view peer);

    /// Sends this node's heartbeat to all peers.
    void send_heartbeat();

    /// Tells all peers which requests were in flight at a crash.
    void send_suspects(std::span<const std::uint64_t> fingerprints);

    /// Asks one peer, another one each time, for the state of a stream that the log does not give.
    void request_records(const std::string& stream, std::uint64_t next_offset);

private:
    void dispatch(std::string_view peer, const support::json& frame);
    void on_heartbeat(std::string_view peer, const support::json& frame);
    void on_open_call(std::string_view peer, const support::json& frame);
    void on_event(const support::json& frame);
    void on_end_call(const support::json& frame);
    void on_suspects(const support::json& frame);
    void on_records_request(std::string_view peer, const support::json& frame);
    [[nodiscard]] support::json heartbeat(std::string_view peer) const;

    peer_services services_;
    std::atomic<std::size_t> next_asked_ = 0;
    std::mutex mutex_;
    /// Attempts that peers have opened here, so that they are cancelled when the link goes down.
    std::multimap<std::string, std::string, std::less<>> opened_by_;
};

} // namespace dragonflystair::node
