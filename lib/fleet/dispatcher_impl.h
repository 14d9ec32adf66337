#pragma once

#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/fleet/engine_speed.h"
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
#include <utility>
#include <vector>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::duration;
using support::time_point;

/// Time of a plain call until it was measured; the deployments state 15 and 30 ms.
inline constexpr double plain_work_ms = 25;

inline double to_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// What is known of one adapter on one endpoint.
struct resident {
    residency state = residency::absent;
    std::uint64_t version = 0;
};

/// What a peer last said of its calls at an endpoint.
struct told_load {
    endpoint_load load;
    time_point told_at;
};

/// One endpoint as this node knows it.
struct endpoint {
    endpoint_record record;
    bool leaving = false;
    time_point suspended_until;
    std::optional<time_point> paused_until; ///< As it asked for, if it ever did.
    std::map<model_name, resident> adapters;
    std::set<std::string, std::less<>> models;
    endpoint_load own;
    std::map<std::string, told_load, std::less<>> peers;
    prompt_cache prompts;

    /// Whether it is to be left alone at that time.
    [[nodiscard]] bool pauses(time_point at) const { return paused_until && *paused_until > at; }

    [[nodiscard]] bool serves_model(const model_name& model) const {
        return model.model.empty() || models.contains(model.model);
    }

    /// Own calls and those of peers, whose prompts the endpoint has gone on reading since they
    /// told of them.
    [[nodiscard]] endpoint_load total(time_point now, double tokens_per_ms) const {
        endpoint_load sum = own;
        for (const auto& [peer, told] : peers) {
            const double read = to_ms(now - told.told_at) * tokens_per_ms;
            const auto unread = static_cast<double>(told.load.pending_prefill_tokens);
            sum.calls += told.load.calls;
            sum.pending_prefill_tokens += static_cast<std::size_t>(std::max(unread - read, 0.0));
        }
        return sum;
    }
};

/// What one service shows of itself.
struct service_state {
    bool has_engines = false;
    std::size_t batch_slots = 0;
    double work_ms = plain_work_ms;
    engine_speed speed;
    /// Shortest pause between events that any of its streams allows; 0 if none names one.
    double longest_pause_ms = 0;
    time_point window_start;
    std::size_t placed = 0;
    double placed_per_s = 0; ///< 0 until a whole window was measured.
};

enum class call_state { waiting, placed, started };

/// A call from its arrival to its end.
struct open_call {
    pending_call call;
    call_state state = call_state::waiting;
    std::string endpoint;
    time_point placed_at;
    std::size_t pending_prefill_tokens = 0; ///< Of its prompt, when it was placed.
    std::size_t tokens_ahead = 0;           ///< Unread tokens of other calls, when it was placed.
    double expected_ms = 0;
    bool fresh = true;                   ///< Not looked at yet.
    std::optional<time_point> passes_at; ///< Another data centre is asked then.
    bool missing = false;                ///< It waits for its adapter rather than for a place.
    bool awaits_load = false;            ///< Its time is over, but its adapter is on its way.
    time_point load_looked_at;           ///< When that was last seen to be so.
};

/// An endpoint that a call could go to, and what that would cost.
struct choice {
    endpoint* place = nullptr;
    double cost_ms = 0;
    double expected_ms = 0;
    std::size_t pending_prefill_tokens = 0;
    std::size_t tokens_ahead = 0;
    bool crowded = false; ///< An endpoint without the adapter would have cost much less.
};

struct dispatcher::impl {
    explicit impl(topology chosen) : places(std::move(chosen)) {}

    [[nodiscard]] std::uint64_t required_version(const model_name& model) const {
        const auto found = required.find(model);
        return found == required.end() ? 0 : found->second;
    }
    [[nodiscard]] bool holds(const endpoint& item, const model_name& model) const;
    [[nodiscard]] double distance_ms(const endpoint& item) const;
    [[nodiscard]] static double longest_reading_ms(const pending_call& call,
                                                   const service_state& state);
    [[nodiscard]] static bool is_long(std::size_t tokens, const service_state& state);
    std::optional<choice> evaluate(endpoint& item, const open_call& open,
                                   const service_state& state, time_point now);
    /// Endpoints of a service that are not leaving.
    std::span<endpoint* const> members(std::string_view service);
    std::optional<choice> choose(const open_call& open, const service_state& state, time_point now);
    dispatch_decision place(open_call& open, const choice& chosen, service_state& state,
                            time_point now);
    dispatch_decision refuse(const open_call& open, const service_state& state, std::size_t ahead,
                             bool adapter_missing) const;
    std::optional<dispatch_decision> decide(open_call& open, std::size_t ahead, time_point now);
    [[nodiscard]] std::optional<time_point> paused_beyond(const open_call& open);
    [[nodiscard]] bool awaits_load(open_call& open, time_point now) const;
    void release(open_call& open);
    void note_use(const choice& chosen, const model_name& model);
    [[nodiscard]] static bool considers(const endpoint& item, const pending_call& call);
    [[nodiscard]] bool adapter_missing(const open_call& open);
    [[nodiscard]] bool ready_elsewhere(const pending_call& call);
    [[nodiscard]] const endpoint* loading(const model_name& model) const;
    [[nodiscard]] std::string loading_place(const model_name& model) const;

    topology places;
    bool loads_possible = true;
    std::map<std::string, endpoint, std::less<>> endpoints;
    /// Endpoints by service; emptied when an endpoint comes, leaves or goes.
    std::map<std::string, std::vector<endpoint*>, std::less<>> member_index;
    std::map<std::string, service_state, std::less<>> services;
    std::map<model_name, std::uint64_t> required;
    std::map<std::uint64_t, open_call> calls;
    std::vector<std::uint64_t> queue;
    bool changed = false;              ///< Something that calls may wait for, since the last pump.
    bool has_fresh = false;            ///< The queue has calls that were not looked at.
    std::size_t waiting_for_place = 0; ///< Calls whose adapter is ready somewhere.
    time_point looked_at;              ///< When all waiting calls were looked at last.
    bool new_demand = false;           ///< A call began to wait for an adapter.
    policy::endpoint_health health;
    std::map<model_name, std::string> last_holders;
    std::map<model_name, std::size_t> diverted;
    std::map<model_name, std::size_t> crowded;
    /// Adapters whose calls were refused, and when those were told to return.
    std::map<model_name, milliseconds> returning;
    std::map<std::string, std::map<model_name, std::size_t>> used;
};

} // namespace dragonflystair::fleet
