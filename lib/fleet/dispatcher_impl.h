#pragma once

#include "dragonflystair/fleet/balanced_choice.h"
#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/fleet/endpoint_speed.h"
#include "dragonflystair/fleet/engine_memory.h"
#include "dragonflystair/fleet/engine_speed.h"
#include "dragonflystair/fleet/fair_queue.h"
#include "dragonflystair/fleet/send_permits.h"
#include "dragonflystair/policy/endpoint_health.h"

#include "prompt_cache.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::duration;
using support::time_point;

/// Assumed duration of a plain call before the first sample; deployments specify 15 and 30 ms.
inline constexpr double initial_plain_call_ms = 25;

inline double to_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// State of one adapter on one endpoint.
struct adapter_state {
    residency state = residency::absent;
    std::uint64_t version = 0;
};

/// A peer's load at an endpoint as it last reported it.
struct peer_load {
    endpoint_load load;
    time_point reported_at;
};

/// One endpoint's record, adapters and load as this node last observed them.
struct endpoint {
    endpoint_record record;
    bool out_of_service = false; ///< Draining or removed; receives no new calls.
    time_point suspended_until;
    std::optional<time_point> paused_until; ///< End of the backoff that it asked for, if any.
    std::map<model_name, adapter_state> adapters;
    std::set<std::string, std::less<>> models;
    endpoint_load own;
    std::map<std::string, peer_load, std::less<>> peers;
    time_point peers_reported_at; ///< Last report of a peer, also of one that its calls ended.
    prompt_cache prompts;
    recent_tokens recent; ///< Placed by this node on its own.

    /// Returns whether the endpoint is in a backoff at that time.
    [[nodiscard]] bool is_paused(time_point at) const { return paused_until && *paused_until > at; }

    [[nodiscard]] bool serves_model(const model_name& model) const {
        return model.model.empty() || models.contains(model.model);
    }

    /// Returns the load of this node and its peers. Prompts that peers reported are reduced by the
    /// prefill that the endpoint has done since their reports.
    [[nodiscard]] endpoint_load total(time_point now, double tokens_per_ms) const {
        endpoint_load sum = own;
        for (const auto& [peer, reported] : peers) {
            const double read = to_ms(now - reported.reported_at) * tokens_per_ms;
            const auto unread = static_cast<double>(reported.load.pending_prefill_tokens);
            sum.calls += reported.load.calls;
            sum.held_tokens += reported.load.held_tokens;
            sum.pending_prefill_tokens += static_cast<std::size_t>(std::max(unread - read, 0.0));
        }
        return sum;
    }
};

/// Configuration and measurements of one service.
struct service_state {
    bool has_engines = false;
    std::size_t batch_slots = 0;
    std::size_t cache_tokens = 0; ///< Memory of one engine; 0 if unlimited.
    double plain_call_ms = initial_plain_call_ms;
    engine_speed speed;
    /// Smallest gap between events that a route to the service sets as its target; 0 if none does.
    double max_event_gap_ms = 0;
    time_point window_start;
    std::size_t placed = 0;
    double placed_per_s = 0; ///< 0 until a whole window has been measured.
};

enum class call_state { waiting, placed, started };

/// State of a call from its arrival to its end.
struct open_call {
    pending_call call;
    call_state state = call_state::waiting;
    std::string endpoint;
    std::uint64_t endpoint_run = 0; ///< Start time of the endpoint when the call was placed.
    time_point placed_at;
    std::size_t pending_prefill_tokens = 0; ///< Prompt tokens without cached prefix, at dispatch.
    std::size_t tokens_ahead = 0;           ///< Pending prefill tokens of other calls, at dispatch.
    std::size_t held_tokens = 0; ///< Tokens that it may reach; 0 unless placed on an engine.
    double expected_ms = 0;
    double mean_ms = 0;                   ///< Forecast for an endpoint of mean speed, at dispatch.
    bool is_new = true;                   ///< Not evaluated yet.
    std::optional<time_point> diverts_at; ///< When another data centre is asked.
    bool adapter_missing = false;         ///< Waits for its adapter rather than for a slot.
    bool awaits_load = false;             ///< Past queue_deadline, but its adapter is loading.
    time_point load_checked_at;           ///< When the load was last seen in progress.
};

/// A candidate endpoint for a call, with its cost.
struct choice {
    endpoint* target = nullptr;
    double cost_ms = 0;
    double expected_ms = 0;
    double mean_ms = 0;  ///< Forecast for an endpoint of mean speed, without the distance.
    double slowness = 1; ///< Expected time relative to `mean_ms`, without the distance.
    bool late = false;   ///< Expected after the objective of the call, by its endpoint's speed.
    std::size_t pending_prefill_tokens = 0;
    std::size_t tokens_ahead = 0;
    bool crowded = false;       ///< An endpoint without the adapter would have cost much less.
    bool awaits_permit = false; ///< The endpoint has a rate limit and no permit is left.

    /// Returns whether this choice is better than another one.
    [[nodiscard]] bool operator<(const choice& other) const {
        return std::tuple(awaits_permit, late, cost_ms) <
               std::tuple(other.awaits_permit, other.late, other.cost_ms);
    }
};

/// Place of a waiting call among those of its service.
struct queue_position {
    std::size_t ahead = 0; ///< Calls before it that wait for a slot.
    double min_wait_s = 0; ///< Wait in seconds until its tenant's share suffices for the call.
};

struct dispatcher::impl {
    explicit impl(topology chosen) : layout(std::move(chosen)) {}

    [[nodiscard]] std::uint64_t required_version(const model_name& model) const {
        const auto found = required.find(model);
        return found == required.end() ? 0 : found->second;
    }
    [[nodiscard]] bool has_ready(const endpoint& target, const model_name& model) const;
    [[nodiscard]] double distance_ms(const endpoint& target) const;
    [[nodiscard]] static double max_prefill_ms(const pending_call& call,
                                               const service_state& state);
    [[nodiscard]] static bool is_long_prefill(std::size_t tokens, const service_state& state);
    /// Returns the number of tokens that a call may reach on an engine; 0 if it names none.
    [[nodiscard]] static std::size_t tokens_of(const pending_call& call) {
        constexpr std::size_t max_tokens = 1'000'000'000; // Callers may send any numbers.
        return std::min(call.prompt_tokens, max_tokens) + std::min(call.output_tokens, max_tokens);
    }
    [[nodiscard]] static bool exceeds_memory(const pending_call& call, const service_state& state);
    bool has_memory(endpoint& target, const pending_call& call, const service_state& state,
                    std::size_t held_tokens, time_point now);
    static void hold_memory(open_call& open, endpoint& target, const service_state& state,
                            time_point now);
    std::optional<choice> evaluate(endpoint& target, const open_call& open,
                                   const service_state& state, time_point now);
    /// Returns the endpoints of a service that are neither draining nor removed.
    std::span<endpoint* const> members(std::string_view service);
    std::optional<choice> choose(const open_call& open, const service_state& state, time_point now);
    dispatch_decision place(open_call& open, const choice& chosen, service_state& state,
                            time_point now);
    dispatch_decision refuse(const open_call& open, const service_state& state,
                             queue_position position, bool adapter_missing) const;
    [[nodiscard]] static double expected_wait_s(const service_state& state,
                                                queue_position position);
    std::optional<dispatch_decision> decide(open_call& open, queue_position position,
                                            time_point now);
    [[nodiscard]] std::size_t calls_before(const endpoint& target) const;
    [[nodiscard]] time_point available_at(const endpoint& target, std::size_t ahead) const;
    [[nodiscard]] std::optional<time_point> unavailable_past_deadline(const open_call& open);
    [[nodiscard]] refusal unavailability(const open_call& open);
    std::optional<dispatch_decision> refuse_unavailable(const open_call& open,
                                                        const service_state& state,
                                                        queue_position position, time_point now);
    [[nodiscard]] bool awaits_load(open_call& open, time_point now) const;
    void release(open_call& open);
    void record_use(const choice& chosen, const model_name& model);
    [[nodiscard]] double slowness(const endpoint& target, time_point now) const;
    void learn_speed(const open_call& open, const endpoint& target, double took_ms, time_point now);
    [[nodiscard]] bool chooses_at_random(const open_call& open) const;
    choice choose_at_random(std::span<const choice> usable, const service_state& state,
                            time_point now);
    [[nodiscard]] static bool is_eligible(const endpoint& target, const pending_call& call);
    [[nodiscard]] bool adapter_missing(const open_call& open);
    [[nodiscard]] bool ready_elsewhere(const pending_call& call);
    [[nodiscard]] bool diverts_at_once(const open_call& open, const service_state& state,
                                       std::size_t ahead, time_point now);
    [[nodiscard]] const endpoint* loading_endpoint(const model_name& model) const;
    [[nodiscard]] std::string load_data_centre(const model_name& model) const;

    topology layout;
    bool loads_possible = true;
    std::size_t nodes = 1; ///< That may place calls at the same time.
    std::size_t memory_skips = 0;
    std::map<std::string, endpoint, std::less<>> endpoints;
    /// Endpoints by service; cleared when an endpoint is added, drained or removed.
    std::map<std::string, std::vector<endpoint*>, std::less<>> member_index;
    std::map<std::string, service_state, std::less<>> services;
    std::map<model_name, std::uint64_t> required;
    std::map<std::uint64_t, open_call> calls;
    fair_queue queue; ///< The calls that wait.
    /// Whether a state that any call may wait for has changed since the last pump.
    bool changed = false;
    /// Whether only loads of endpoints have: calls that wait for an adapter need no evaluation.
    bool loads_changed = false;
    /// Adapters whose residency has changed since the last pump.
    std::set<model_name> changed_models;
    bool has_new_calls = false;       ///< Whether the queue has calls not evaluated yet.
    std::size_t waiting_for_slot = 0; ///< Waiting calls whose adapter is ready on some endpoint.
    time_point evaluated_at;          ///< When all calls that wait for a slot were last evaluated.
    bool new_demand = false;          ///< Whether a call began to wait for an adapter.
    policy::endpoint_health health;
    bool learns_speed = false;
    endpoint_speed speeds;
    std::optional<balanced_choice> random_choice;
    send_permits* permits = nullptr; ///< For endpoints with a rate limit; null without limits.
    std::map<std::string, std::size_t, std::less<>> permit_demand;
    time_point pumped_at;
    std::map<model_name, std::string> last_holders;
    std::map<model_name, std::size_t> diverted;
    std::map<model_name, std::size_t> crowded;
    /// Retry-After of calls that were rejected for want of their adapter.
    std::map<model_name, milliseconds> refused_retry_after;
    std::map<std::string, std::map<model_name, std::size_t>> used;
};

} // namespace dragonflystair::fleet
