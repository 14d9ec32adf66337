#pragma once

#include "dragonflystair/fleet/balancing.h"
#include "dragonflystair/fleet/call.h"
#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/fleet/endpoint_record.h"
#include "dragonflystair/fleet/topology.h"
#include "dragonflystair/support/time.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

/// Calls that one node has in flight at one endpoint.
struct endpoint_load {
    std::size_t calls = 0;
    std::size_t pending_prefill_tokens = 0; ///< Of prompts whose first event has not arrived.
    /// Tokens that the calls may reach: prompts and maximum outputs.
    std::size_t held_tokens = 0;

    bool operator==(const endpoint_load&) const = default;
};

enum class residency { absent, loading, ready };

/// A call waiting to be dispatched to an endpoint.
struct pending_call {
    std::uint64_t number = 0; ///< Assigned by the node; unique among its open calls.
    std::string service;
    model_name model;
    std::vector<prompt_part> prompt;
    std::size_t prompt_tokens = 0;
    std::size_t output_tokens = 0; ///< The most that the call may generate; 0 if unspecified.
    std::string tenant;            ///< Empty if the call has none.
    int priority = 0;
    support::time_point arrived;
    support::time_point objective_deadline; ///< Time by which the answer or first event is due.
    support::time_point queue_deadline;     ///< Rejected if not dispatched by then.
    support::time_point load_deadline; ///< Replaces queue_deadline while its adapter is loading.
    std::vector<std::string> excluded; ///< Endpoints already tried.
    /// Restricts the candidates to one data centre, as its lead node does; empty for all.
    std::string data_centre;
    /// Whether another data centre may be asked instead of waiting in this queue.
    bool may_divert = false;

    /// Returns whether the endpoint has been tried already.
    [[nodiscard]] bool excludes(std::string_view endpoint) const {
        return std::ranges::find(excluded, endpoint) != excluded.end();
    }
};

enum class refusal {
    no_endpoints, ///< The service has no known endpoint.
    overloaded,   ///< The calls queued ahead take longer than its queue deadline allows.
    no_capacity,  ///< No slot became free before its deadline.
    no_adapter,   ///< Its adapter was not loaded before its deadline.
    paused,       ///< Every eligible endpoint has asked for a backoff beyond its deadline.
    elsewhere,    ///< Another data centre has its adapter ready and should be asked.
    limited,      ///< No eligible endpoint accepts another request before its deadline.
    too_large,    ///< It may reach more tokens than the memory of an empty engine holds.
};

std::string_view to_string(refusal reason);

/// The outcome for a call: an endpoint, or a rejection with the time after which to retry.
struct dispatch_decision {
    std::uint64_t number = 0;
    std::string endpoint;                 ///< Empty if the call is rejected.
    std::optional<std::uint64_t> version; ///< Adapter version that the endpoint must have.
    refusal reason = refusal::no_capacity;
    std::chrono::milliseconds retry_after{0};
};

/// Demand for an adapter that no endpoint has ready, or that is ready only in other data centres or
/// on busy endpoints.
struct adapter_demand {
    model_name model;
    std::string data_centre;  ///< Where the adapter should be loaded.
    std::size_t waiting = 0;  ///< Calls currently waiting for the adapter.
    std::size_t diverted = 0; ///< Calls sent to another data centre since the last report.
    /// Calls sent to a busy endpoint, since then, while one without the adapter was less busy.
    std::size_t crowded = 0;
    /// Retry-After of calls that were rejected for want of the adapter; 0 if there were none.
    std::chrono::milliseconds retry_after{0};
};

class send_permits;

/// Chooses endpoints for calls, orders the queue and rejects calls that cannot be served in time.
/// Each node dispatches directly to the endpoints: it counts its own calls exactly and adds the
/// loads that its peers last reported.
///
/// Load patterns it is designed for: bursts of short generations with a few prompts whose prefill
/// takes as long as that of fifty others; endpoints that have the adapter but no free slot; plain
/// services with few slots in each of three regions. Long prompts are placed apart from each other
/// and, where possible, from running generations, whose events they delay. An adapter is used
/// wherever it is ready, since all engines together have hardly more adapter slots than there are
/// adapters in use. Has no clock and does no I/O: the time is an argument.
class dispatcher {
public:
    explicit dispatcher(topology layout);
    ~dispatcher();
    dispatcher(const dispatcher&) = delete;
    dispatcher& operator=(const dispatcher&) = delete;

    /// Sets the permits that calls to endpoints with a rate limit take, which must outlive the
    /// dispatcher. Without them limits have no effect.
    void use_permits(send_permits& permits);
    /// Notes that permits have arrived or limits have changed.
    void on_permits_changed();
    /// Returns the number of waiting calls for which only a permit is missing, by endpoint. A call
    /// that could go to several such endpoints counts at the best one.
    [[nodiscard]] std::map<std::string, std::size_t, std::less<>> permit_demand() const;

    /// Sets how calls are distributed over endpoints of unequal speed; by default by least cost and
    /// the mean speed of the service.
    void balance(const balancing& options);

    void configure(const configuration& current);

    void update(const endpoint_record& record);
    /// Sends the endpoint no further call; those in flight continue.
    void remove(std::string_view endpoint);
    /// Excludes the endpoint until then, as after a refused connection.
    void suspend(std::string_view endpoint, support::time_point until);
    /// Applies a backoff that the endpoint asked for. Its capacity does not count until the backoff
    /// ends; after that its load is ramped up gradually.
    void pause(std::string_view endpoint, support::time_point until);
    /// Returns the end of the last backoff; the epoch if there was none.
    [[nodiscard]] support::time_point paused_until(std::string_view endpoint) const;
    /// Marks the endpoint as draining before its record shows it.
    void set_draining(std::string_view endpoint);
    void set_residency(std::string_view endpoint, const model_name& model, residency state,
                       std::uint64_t version);
    /// Restricts calls for the adapter to this version or newer ones.
    void require_version(const model_name& model, std::uint64_t version);

    void set_peer_load(std::string_view peer, std::string_view endpoint, endpoint_load load,
                       support::time_point now);
    void remove_peer(std::string_view peer);

    /// Sets the number of nodes that may place calls at the same time, including this one.
    void set_nodes(std::size_t count);
    /// Returns how often an engine was passed over since its memory had no room for the call, and
    /// resets that.
    std::size_t take_memory_skips();

    /// Sets whether some node may send orders to engines; otherwise no adapter can be loaded.
    void set_loads_possible(bool possible);

    void submit(pending_call call);
    /// Counts a call that is running on an endpoint after the lead that placed it was lost, so that
    /// this node reports its load. No effect if the call names no tokens.
    void adopt(pending_call call, std::string_view endpoint);
    /// Removes a call in any state, when it has ended or its caller has disconnected.
    void finish(std::uint64_t number, support::time_point now);
    /// Frees the call's slot and enqueues it again; the endpoint is not chosen a second time.
    void retry(std::uint64_t number);
    /// Records that the first event or the answer has arrived.
    void on_started(std::uint64_t number, support::time_point now);
    void on_failed(std::string_view endpoint, support::time_point now);

    /// Returns the data centre whose lead should place a call for an engine: the nearest that has
    /// the adapter ready, or else the one that should load it. `excluded` is returned only if no
    /// other data centre has the adapter ready; empty excludes none.
    [[nodiscard]] std::string lead_data_centre(const pending_call& call,
                                               std::string_view excluded) const;
    /// Returns the data centre whose lead should place a call for a plain service: the nearest with
    /// an endpoint that the call has not tried and a free slot. Data centres in `full` have none,
    /// nor those with as many calls in `sent` as slots. `excluded`, which may be empty, is returned
    /// if there is no other.
    [[nodiscard]] std::string
    plain_data_centre(const pending_call& call, std::string_view excluded,
                      const std::set<std::string, std::less<>>& full,
                      const std::map<std::string, std::size_t, std::less<>>& sent) const;
    /// Returns whether the service's endpoints are engines.
    [[nodiscard]] bool has_engines(std::string_view service) const;
    /// Records that another data centre was asked to place a call for the adapter.
    void note_diverted(const model_name& model);

    /// Dispatches and rejects waiting calls. Cheap while nothing has changed.
    std::vector<dispatch_decision> pump(support::time_point now);

    /// Returns when `pump` has to run again if no event occurs; empty if no call waits.
    [[nodiscard]] std::optional<support::time_point> next_deadline() const;

    /// Returns whether a call began to wait for an adapter since the last time, and resets that.
    bool take_new_demand();
    /// Returns the demand to report to the holder of the placement lease, and resets its counters.
    std::vector<adapter_demand> take_demand();

    /// Returns the adapters with calls in flight or sent since the last time, with the number of
    /// those sent, by the data centre of the endpoint.
    std::map<std::string, std::map<model_name, std::size_t>> take_used();

    [[nodiscard]] std::map<std::string, endpoint_load> own_loads() const;
    /// Returns the endpoint's last record, or null.
    [[nodiscard]] const endpoint_record* find(std::string_view endpoint) const;
    /// Returns whether some endpoint accepts calls of the service.
    [[nodiscard]] bool serves(std::string_view service) const;
    [[nodiscard]] std::size_t waiting() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::fleet
