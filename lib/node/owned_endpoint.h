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

/// Description of an endpoint that its owner takes from the grant, the deployment and the VM list.
struct endpoint_setup {
    std::string id;
    std::string address;
    std::string service;
    bool checks_fencing = false;
    ledger::position fence = 0;
    std::chrono::milliseconds load_time{
        250}; ///< Expected time of an adapter load without recent samples.
};

/// Components of the node that an owned endpoint uses.
struct owner_services {
    node_context& context;
    member_table& members;
    log_writer& member_writer;
    net::engine_client& engines;
    permit_broker& permits;
    crash_table& crashes;
    /// Broadcasts to all peers the fingerprints of requests that were in flight at a crash.
    std::function<void(std::span<const std::uint64_t>)> broadcast_suspects;
};

/// A model endpoint that this node owns. Executes the scheduler's actions on its engine: polls its
/// state, streams requests, and loads and unloads adapters. Thread-safe.
class owned_endpoint : public std::enable_shared_from_this<owned_endpoint> {
public:
    /// Timeout of state, unload and cancel requests to the engine.
    static constexpr std::chrono::milliseconds engine_request_timeout{1'000};

    owned_endpoint(owner_services services, endpoint_setup setup);

    /// Starts polling the engine. Requests are admitted after the first successful poll.
    void start();

    /// Admits a request, or rejects it by sending an `attempt_end` of kind `refused` to `sink`
    /// before returning.
    void submit(attempt request, const call_sink& sink);
    /// Cancels a queued or running request; does nothing if `id` is not in progress here.
    void cancel(const std::string& id);

    /// Receives a permit to load an adapter; returns it if too little of its lifetime is left.
    void on_permit(const std::string& adapter, const held_permit& permit);

    /// Asks the scheduler to load an adapter before any request needs it.
    void prefetch(const std::string& adapter, double urgency);

    /// While the endpoint is leaving, new and queued requests are rejected and running ones
    /// continue.
    void set_leaving(bool leaving);

    /// Polls the scheduler and executes the actions that are due.
    void pump();

    [[nodiscard]] const endpoint_setup& setup() const { return setup_; }
    [[nodiscard]] policy::endpoint_load load() const;
    /// Returns true if the load is to be reported to peers now; the calling code then sends the
    /// report.
    bool report_due(const policy::endpoint_load& load);
    /// Returns true if the engine has been polled successfully since the grant, the endpoint is not
    /// retired, and fewer than `max_failed_polls` polls in a row have failed.
    [[nodiscard]] bool ready() const;
    [[nodiscard]] std::size_t running() const;

    /// Called when this node no longer has the grant. Rejects queued requests, sends no further
    /// load or unload requests, and stops polling once the running requests have ended.
    void retire();

private:
    struct active_attempt {
        attempt request;
        call_sink sink;
        std::shared_ptr<net::engine_stream> stream;
        std::atomic<bool> crashed = false;
        std::atomic<bool> cancelled = false;
        std::atomic<std::uint64_t> next_position = 0;
    };
    using active_ptr = std::shared_ptr<active_attempt>;
    enum class read_result { done, broken, cancelled, rejected };

    // Engine state and scheduler actions (owned_endpoint.cpp).
    net::awaitable<void> poll_loop();
    net::awaitable<bool> send_fencing_number();
    net::awaitable<bool> refresh();
    void on_state(const net::engine_state& state);
    void resolve_intents_after_restart();
    void execute(const policy::scheduler_action& action);

    // Adapter loads and unloads (owned_endpoint_loads.cpp).
    net::awaitable<void> run_load(std::string adapter);
    net::awaitable<void> run_unload(std::string adapter);
    net::awaitable<bool> log_eviction_intent(std::string adapter);
    net::awaitable<std::optional<bool>> request_unload(std::string adapter);
    void release_permit(const std::string& adapter);

    // Requests and their token streams (owned_endpoint_attempts.cpp).
    void refuse(const std::string& id, const policy::refusal& refusal);
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
    /// Adapters with unresolved eviction intents of earlier sessions.
    std::vector<std::string> unusable_adapters_;
    std::string start_id_;
    std::atomic<bool> fencing_number_sent_ = false;
    bool ready_ = false;
    bool retired_ = false;
    bool leaving_ = false;
    unsigned failed_polls_ = 0;
};

} // namespace dragonflystair::node
