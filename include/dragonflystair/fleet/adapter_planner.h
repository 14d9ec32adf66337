#pragma once

#include "dragonflystair/fleet/configuration.h"
#include "dragonflystair/fleet/dispatcher.h"
#include "dragonflystair/fleet/endpoint_record.h"
#include "dragonflystair/support/time.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonflystair::fleet {

enum class order_kind {
    load,
    unload,
    report, ///< Ask the engine what it holds.
};

/// An order that is due, or a repeat of one that shows whether it has been carried out.
struct planned_order {
    std::string endpoint;
    std::string address;
    order_kind kind = order_kind::load;
    model_name model;
    std::optional<std::uint64_t> version;
    std::uint64_t orders_accepted = 0; ///< The engine's count that the order expects.
    bool check = false;                ///< The order was accepted before.
    bool repeat = false;               ///< It was given before and got no answer.
};

/// How an engine answered an order.
enum class order_outcome {
    accepted,
    holds,
    conflict, ///< It counts other orders, or one is in progress.
    failed,   ///< Not carried out.
    unknown,  ///< It may be carried out, also later.
};

/// Why calls that waited for an adapter brought no load of it.
enum class load_blocker {
    none,
    engines_busy,    ///< Every engine has an order or as many loads under way as it takes.
    store_busy,      ///< As many loads come from the store as it serves at full speed.
    adapters_in_use, ///< No engine has an adapter that could make room.
};

std::string_view to_string(load_blocker reason);

/// Calls that gave up waiting for an adapter that no order was given for.
struct unmet_demand {
    model_name model;
    std::size_t waiting = 0;
    support::duration waited{};
    load_blocker reason = load_blocker::none;
};

/// What the holder of the placement lease tells all nodes about an engine.
struct residency_change {
    std::string endpoint;
    model_name model;
    residency state = residency::absent;
    std::uint64_t version = 0;
};

/// Decides which adapters the engines of one data centre hold. Run by the holder of its placement
/// lease only. One order at a time is under way to each engine; each expects the count of orders
/// that the engine has accepted, so an order that is carried out late does no harm.
///
/// Load patterns it answers: a long tail of rare adapters, each asked for once, beside a few busy
/// ones; demand that moves to other adapters within seconds; engines that restart empty. A rare
/// adapter goes to the engine that had it before, since engines load recent ones ten times as fast,
/// and drives out the least popular adapter that nothing used for a while. Pure.
class adapter_planner {
public:
    /// Time for the answer to an order: a round trip between regions, 40 ms, and some turns of both
    /// ends. The order is then given again, which does no harm if the first one arrived.
    static constexpr std::chrono::milliseconds answer_time{150};

    adapter_planner();
    ~adapter_planner();
    adapter_planner(const adapter_planner&) = delete;
    adapter_planner& operator=(const adapter_planner&) = delete;

    void configure(const configuration& current);
    /// Adds or refreshes an engine of the data centre. The first record of a start counts; later
    /// ones are older than what orders have shown.
    void update(const endpoint_record& record);
    void remove(std::string_view endpoint);
    /// The engine asked to be left alone until then: it gets no order, and what it holds is loaded
    /// elsewhere for calls that wait.
    void pause(std::string_view endpoint, support::time_point until);
    /// The engine said that it leaves; its record will say so later.
    void set_draining(std::string_view endpoint);

    void on_demand(const adapter_demand& demand, support::time_point now);
    /// So many calls were sent to engines with the adapter since the last time; 0 if calls that
    /// were sent before still run.
    void on_used(const model_name& model, support::time_point now, std::size_t calls = 1);
    void require_version(const model_name& model, std::uint64_t version);

    /// The holder of the lease said that an engine has an adapter; for a node that may succeed it.
    void on_adapter_resident(std::string_view endpoint, const model_name& model);
    /// The lease was won: what engines hold is asked for before the first order, since the former
    /// holder's orders do not show in records.
    void on_lease_acquired();

    /// Orders that are due, at most one for each engine without an order under way.
    std::vector<planned_order> plan(support::time_point now);
    void on_outcome(const planned_order& order, order_outcome outcome, support::time_point now);
    void on_report(std::string_view endpoint, const engine_report& report, support::time_point now);
    void on_report_failed(std::string_view endpoint, support::time_point now);

    /// When `plan` has to run again even if nothing happens.
    [[nodiscard]] std::optional<support::time_point> next_due() const;

    /// Changes since the last time.
    std::vector<residency_change> take_changes();
    /// Demand that ended without a load since the last time, for logs and metrics.
    std::vector<unmet_demand> take_unmet();
    /// Everything that is held.
    [[nodiscard]] std::vector<residency_change> all() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::fleet
