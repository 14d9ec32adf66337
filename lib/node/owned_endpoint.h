#pragma once

#include "dragonflystair/net/engine_client.h"
#include "dragonflystair/policy/endpoint_scheduler.h"
#include "dragonflystair/policy/load_reporter.h"

#include "attempt.h"
#include "call_event.h"
#include "crash_table.h"
#include "log_writer.h"
#include "member_table.h"
#include "node_context.h"
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

/// What an owner knows of its endpoint from the grant, the text and the VM list.
struct endpoint_setup {
    std::string id;
    std::string address;
    std::string service;
    bool checks_fencing = false;
    ledger::position fence = 0;
    std::chrono::milliseconds load_time{250};
};

/// Services of the node that an owned endpoint uses.
struct owner_services {
    node_context& context;
    member_table& members;
    log_writer& member_writer;
    net::engine_client& engines;
    permit_broker& permits;
    crash_table& crashes;
    /// Tells all peers the fingerprints that were in flight at a crash.
    std::function<void(std::span<const std::uint64_t>)> announce_suspects;
};

/// One model endpoint that this node owns: carries out the scheduler's actions against the engine.
class owned_endpoint : public std::enable_shared_from_this<owned_endpoint> {
public:
    /// Time for an answer to a state question or an unload order.
    static constexpr std::chrono::milliseconds state_timeout{1'000};

    owned_endpoint(owner_services services, endpoint_setup setup);

    /// Begins to poll the engine; requests are admitted once it has reported.
    void start();

    /// Takes a request, or ends it at once through its sink.
    void submit(attempt item, const call_sink& sink);
    void cancel(const std::string& id);

    void on_permit(const std::string& adapter, const held_permit& permit);

    /// Loads an adapter ahead of need.
    void prefetch(const std::string& adapter, double urgency);

    /// While leaving, refuses new work and what is queued; what runs goes on.
    void set_leaving(bool leaving);

    /// Carries out what is due.
    void pump();

    [[nodiscard]] const endpoint_setup& setup() const { return setup_; }
    [[nodiscard]] policy::endpoint_load load() const;
    /// Whether peers should be told the load now; the caller then tells them.
    bool report_due(const policy::endpoint_load& load);
    /// True once the engine has reported since the grant and while it answers.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::size_t running() const;

    /// Stops polling once the grant is no longer this node's.
    void retire();

private:
    struct active_attempt {
        attempt item;
        call_sink sink;
        std::shared_ptr<net::engine_stream> stream;
        std::atomic<bool> crashed = false;
        std::atomic<bool> cancelled = false;
        std::atomic<std::uint64_t> next_position = 0;
    };
    using active_ptr = std::shared_ptr<active_attempt>;
    enum class read_result { done, broken, cancelled, rejected };

    // The engine's state and the scheduler's actions (owned_endpoint.cpp).
    net::awaitable<void> poll_loop();
    net::awaitable<bool> announce_fence();
    net::awaitable<bool> refresh();
    void on_state(const net::engine_state& state);
    void resolve_intents_after_restart();
    void execute(const policy::scheduler_action& action);

    // Loads and unloads (owned_endpoint_loads.cpp).
    net::awaitable<void> run_load(std::string adapter);
    net::awaitable<void> run_unload(std::string adapter);
    net::awaitable<bool> announce_eviction(std::string adapter);
    net::awaitable<std::optional<bool>> order_unload(std::string adapter);
    void drop_permit(const std::string& adapter);

    // Requests and their streams (owned_endpoint_attempts.cpp).
    void refuse(const std::string& id, const policy::refusal& why);
    net::awaitable<void> run_attempt(active_ptr active, bool priority);
    static net::engine_call engine_call_of(const active_attempt& active, bool priority);
    net::awaitable<attempt_end> stream_attempt(active_ptr active, bool priority);
    net::awaitable<read_result> read_events(active_ptr active,
                                            std::shared_ptr<net::engine_stream> stream);
    void finish(const active_ptr& active, const attempt_end& end);
    void cancel_at_engine(const std::string& id);

    owner_services services_;
    endpoint_setup setup_;
    mutable std::mutex mutex_; ///< Fourth in the lock order.
    policy::endpoint_scheduler scheduler_;
    policy::load_reporter reporter_;
    std::map<std::string, active_ptr, std::less<>> attempts_;
    std::map<std::string, held_permit> permits_;
    std::vector<std::string> unusable_; ///< Adapters with unresolved intents of earlier sessions.
    std::string start_id_;
    std::atomic<bool> fence_announced_ = false;
    bool ready_ = false;
    bool retired_ = false;
    bool leaving_ = false;
    unsigned failed_polls_ = 0;
};

} // namespace dragonflystair::node
