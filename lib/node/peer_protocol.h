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

/// Components of the node that the peer protocol uses.
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
    /// Called with each heartbeat: whether the peer promises not to take over, and the echo of this
    /// node's time stamp.
    std::function<void(std::string_view peer, bool promises, support::time_point echo)> on_promise;
    /// Returns the state of a stream's fold, for a peer that cannot read it from the log.
    std::function<support::json(const std::string& stream)> fold_state;
    std::function<void(const std::string& stream, const support::json& state)> restore_fold;
};

/// Sends and handles the frames between nodes: heartbeats, forwarded calls, crash suspects, and the
/// state of folds for peers that cannot reach the log.
class peer_protocol {
public:
    static constexpr std::chrono::milliseconds heartbeat_period{1'000};

    explicit peer_protocol(peer_services services);

    void on_frame(std::string_view peer, const support::json& frame);
    void on_up(std::string_view peer);
    void on_down(std::string_view peer);

    /// Sends this node's heartbeat to all peers.
    void send_heartbeat();

    /// Broadcasts the fingerprints of requests that were in flight at a crash to all peers.
    void send_suspects(std::span<const std::uint64_t> fingerprints);

    /// Requests the state of a stream that cannot be read from the log from one peer, in
    /// round-robin order. The peer replies only if its state is past `next_offset`.
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
    std::atomic<std::size_t> next_peer_index_ = 0;
    std::mutex mutex_;
    /// Ids of the attempts that each peer has opened on this node; they are cancelled when the
    /// connection to the peer is lost.
    std::multimap<std::string, std::string, std::less<>> attempt_ids_by_peer_;
};

} // namespace dragonflystair::node
