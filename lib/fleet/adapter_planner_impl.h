#pragma once

#include "dragonflystair/fleet/adapter_planner.h"
#include "dragonflystair/fleet/load_window.h"
#include "dragonflystair/policy/popularity.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::time_point;

/// Interval of the checks whether an accepted order is complete.
inline constexpr milliseconds check_period{20};
inline constexpr milliseconds model_check_period{100};
/// Window over which diverted calls and calls to busy engines are counted towards another copy.
inline constexpr milliseconds diverted_window{3'000};

enum class slot_state {
    ordered, ///< The load order is not answered yet.
    loading, ///< The engine has accepted the load.
    ready,
    unloading,
};

/// One model or adapter on an engine.
struct slot {
    slot_state state = slot_state::loading;
    std::uint64_t version = 0;
    time_point last_used;
    time_point check_at;
    /// Empty for a load that is known only from a report.
    std::optional<time_point> ordered_at;
    bool replaces = false;  ///< The load waits for calls on the previous version.
    bool from_store = true; ///< Fetched from the store, since the engine did not have it recently.
};

inline slot make_slot(slot_state state, std::uint64_t version, time_point used,
                      time_point check = {}) {
    slot made;
    made.state = state;
    made.version = version;
    made.last_used = used;
    made.check_at = check;
    return made;
}

/// One engine with its resident and ordered models and adapters.
struct engine {
    endpoint_record record;
    std::uint64_t orders_accepted = 0;
    /// Highest count that all orders but the one in flight and its earlier attempts can have led
    /// to: those that were accepted and those that were given up without an answer.
    std::uint64_t reachable_count = 0;
    /// Orders of a former lease holder may still be executed: until the engine has accepted one
    /// with the present fencing number.
    bool former_holder_orders = false;
    /// Conflicts since the last report that more than one order may have caused.
    std::size_t unexplained_conflicts = 0;
    /// Adapters that the engine holds at most beside `adapters`, whichever orders it executed.
    std::size_t unknown_adapters = 0;
    time_point unexplained_since; ///< When the first of these conflicts occurred.
    time_point count_changed_at;  ///< When `orders_accepted` last changed.
    bool order_in_flight = false;
    bool needs_report = false;
    std::size_t conflicts = 0;           ///< Consecutive.
    std::size_t unanswered = 0;          ///< Consecutive orders.
    time_point unanswered_at;            ///< When an order last remained unanswered.
    std::optional<planned_order> repeat; ///< An unanswered order, to be sent again.
    time_point paused_until;             ///< End of the pause after a failed order or a conflict.
    time_point backoff_until;            ///< End of the backoff that the engine asked for.
    std::optional<double> limit_per_s;   ///< Rate limit for all nodes together, if it names one.
    time_point limited_until;            ///< Next order in view of the limit.
    std::map<std::string, slot> models;
    std::map<model_name, slot> adapters;
    std::set<model_name> recent_adapters; ///< Adapters that were resident since its start.
};

/// Demand for one adapter.
struct demand_state {
    std::size_t waiting = 0;
    double diverted = 0;
    double crowded = 0;
    time_point last_demand_at;
    time_point waiting_since;
    time_point window_start;
    time_point retries_expected_by; ///< Latest retry of calls that were rejected for want of it.
    load_blocker blocker = load_blocker::none; ///< Why the last plan ordered no load.
};

inline std::string key_of(const model_name& model) {
    return model.model + "/" + model.adapter;
}

struct adapter_planner::impl {
    [[nodiscard]] const engine_class* class_of(const engine& target) const;
    [[nodiscard]] std::uint64_t required_version(const model_name& model) const {
        const auto found = required.find(model);
        return found == required.end() ? 0 : found->second;
    }
    void add_resident(engine& target, const resident_model& loaded, time_point now);
    void record_change(const engine& target, const model_name& model, residency state,
                       std::uint64_t version);
    [[nodiscard]] planned_order make_order(const engine& target, order_kind kind,
                                           const model_name& model, bool check) const;
    std::optional<planned_order> model_order(engine& target, time_point now);
    std::optional<planned_order> due_check(engine& target, time_point now);
    std::optional<planned_order> version_order(engine& target, time_point now);
    [[nodiscard]] std::size_t loads_from_store(time_point now) const;
    [[nodiscard]] bool was_recently_resident(const model_name& model) const;
    [[nodiscard]] bool accepts_load(const engine& target, time_point now) const;
    std::optional<planned_order> demand_order(time_point now, const model_name& model,
                                              demand_state& demand,
                                              std::span<const std::string> engine_ids);
    void end_wait(const model_name& model, demand_state& demand);
    void expire_demand(time_point now);
    std::optional<model_name> eviction_candidate(const engine& target, double max_rate,
                                                 time_point now) const;
    [[nodiscard]] bool fits(const engine& target, const model_name& model) const;
    [[nodiscard]] bool has_room(const engine& target, std::size_t more, double more_mb) const;
    static bool report_due(engine& target, time_point now);
    [[nodiscard]] bool should_load(const model_name& model, const demand_state& demand,
                                   time_point now) const;
    [[nodiscard]] bool awaits_retry(const model_name& model, time_point now) const;
    [[nodiscard]] bool is_placed(const model_name& model, time_point now) const;
    [[nodiscard]] bool avoids(const engine& target) const;
    static void space_orders(engine& target, time_point now);
    void begin_order(engine& target, const planned_order& order, time_point now);
    void revert_order(engine& target, const planned_order& order);
    void on_accepted(engine& target, const planned_order& order, time_point now);
    void on_in_effect(engine& target, const planned_order& order, time_point now);
    void on_conflict(engine& target, const planned_order& order, time_point now);
    void on_unexplained_conflict(engine& target, const planned_order& order, time_point now);
    static void count_order(engine& target, time_point now);
    static void on_unanswered(engine& target, const planned_order& order, time_point now);
    static void request_report(engine& target, time_point now);

    configuration current;
    std::map<std::string, engine, std::less<>> engines;
    std::map<model_name, demand_state> demands;
    std::map<model_name, std::uint64_t> required;
    policy::popularity popular;
    load_window window;
    std::vector<residency_change> changes;
    std::vector<unmet_demand> unmet;
};

} // namespace dragonflystair::fleet
