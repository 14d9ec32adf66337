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

/// Pause between two looks whether an order has been carried out.
inline constexpr milliseconds check_period{20};
inline constexpr milliseconds model_check_period{100};
/// Calls that were diverted or crowded count for a copy while they are within this time.
inline constexpr milliseconds diverted_window{3'000};

enum class slot_state {
    ordered, ///< The load was sent and not answered yet.
    loading, ///< The engine carries it out.
    ready,
    unloading,
};

/// One place for a model or adapter on an engine.
struct slot {
    slot_state state = slot_state::loading;
    std::uint64_t version = 0;
    time_point last_used;
    time_point check_at;
    /// Unknown for a load that only a report told of.
    std::optional<time_point> ordered_at;
    bool replaces = false;  ///< It waits for calls on the former version.
    bool from_store = true; ///< The engine did not have it recently.
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

/// One engine and what it holds or was ordered to hold.
struct engine {
    endpoint_record record;
    std::uint64_t orders_accepted = 0;
    bool order_under_way = false;
    bool needs_report = false;
    std::size_t conflicts = 0;           ///< In a row.
    std::size_t unanswered = 0;          ///< Orders in a row.
    time_point unanswered_at;            ///< When that was last found.
    std::optional<planned_order> repeat; ///< An order without an answer, to be given again.
    time_point paused_until;             ///< After an order that failed.
    time_point left_alone_until;         ///< As it asked for.
    std::map<std::string, slot> models;
    std::map<model_name, slot> adapters;
    std::set<model_name> recent; ///< Adapters that it held since its start.
};

/// Demand for one adapter.
struct wanted {
    std::size_t waiting = 0;
    double diverted = 0;
    double crowded = 0;
    time_point asked;
    time_point waiting_since;
    time_point first_diverted;
    time_point returns_by; ///< Calls that were refused for want of it are back by then.
    load_blocker held_back = load_blocker::none; ///< Why the last plan gave no order.
};

inline std::string key_of(const model_name& model) {
    return model.model + "/" + model.adapter;
}

struct adapter_planner::impl {
    [[nodiscard]] const engine_class* class_of(const engine& item) const;
    [[nodiscard]] std::uint64_t required_version(const model_name& model) const {
        const auto found = required.find(model);
        return found == required.end() ? 0 : found->second;
    }
    void hold(engine& item, const held_model& loaded, time_point now);
    void change(const engine& item, const model_name& model, residency state,
                std::uint64_t version);
    [[nodiscard]] planned_order order_for(const engine& item, order_kind kind,
                                          const model_name& model, bool check) const;
    std::optional<planned_order> model_order(engine& item, time_point now);
    std::optional<planned_order> due_check(engine& item, time_point now);
    std::optional<planned_order> version_order(engine& item, time_point now);
    [[nodiscard]] std::size_t loads_from_store(time_point now) const;
    [[nodiscard]] bool had_recently(const model_name& model) const;
    [[nodiscard]] bool takes_load(const engine& item, time_point now) const;
    std::optional<planned_order> demand_order(time_point now, const model_name& model,
                                              wanted& demand, std::span<const std::string> names);
    void end_wait(const model_name& model, wanted& demand);
    void drop_ended_demand(time_point now);
    std::optional<model_name> victim(const engine& item, double worth, time_point now) const;
    [[nodiscard]] bool fits(const engine& item, const model_name& model) const;
    [[nodiscard]] bool is_due(const model_name& model, const wanted& demand, time_point now) const;
    [[nodiscard]] bool awaits_return(const model_name& model, time_point now) const;
    [[nodiscard]] bool placed(const model_name& model, time_point now) const;
    void begin(engine& item, const planned_order& order);
    void withdraw(engine& item, const planned_order& order);
    void on_accepted(engine& item, const planned_order& order, time_point now);
    void on_holds(engine& item, const planned_order& order, time_point now);
    void on_conflict(engine& item, const planned_order& order, time_point now);
    static void on_unanswered(engine& item, const planned_order& order, time_point now);
    static void ask_for_report(engine& item, time_point now);

    configuration current;
    std::map<std::string, engine, std::less<>> engines;
    std::map<model_name, wanted> demands;
    std::map<model_name, std::uint64_t> required;
    policy::popularity popular;
    load_window window;
    std::vector<residency_change> changes;
    std::vector<unmet_demand> unmet;
};

} // namespace dragonflystair::fleet
