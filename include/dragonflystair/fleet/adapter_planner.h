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
    report, ///< Requests the list of resident models and adapters.
};

/// An order to send to an engine, or a check of an accepted order that shows whether it is
/// complete.
struct planned_order {
    std::string endpoint;
    std::string address;
    std::uint64_t started_ms = 0; ///< Start time of the run of the engine that it is meant for.
    order_kind kind = order_kind::load;
    model_name model;
    std::optional<std::uint64_t> version;
    std::uint64_t orders_accepted = 0; ///< Expected count of the engine; it rejects other counts.
    bool check = false;                ///< Polls an order that was accepted before.
    bool repeat = false;               ///< Sent before without an answer.
};

/// Outcome of an order, as answered by the engine.
enum class order_outcome {
    accepted,  ///< In progress.
    in_effect, ///< The ordered state is reached.
    conflict,  ///< The order count differs, or another order is in progress.
    failed,    ///< Not executed.
    unknown,   ///< No answer; the engine may execute it, even later.
};

/// Reason why no load was ordered for an adapter that calls wait for.
enum class load_blocker {
    none,
    engines_busy,    ///< Every engine has an order pending or its maximum of loads in progress.
    store_busy,      ///< The store serves as many loads as it can at full speed.
    adapters_in_use, ///< No engine has an adapter that can be evicted.
};

std::string_view to_string(load_blocker reason);

/// Calls that stopped waiting for an adapter without a load having been ordered.
struct unmet_demand {
    model_name model;
    std::size_t waiting = 0;
    support::duration waited{};
    load_blocker reason = load_blocker::none;
};

/// A residency change on one engine, published to all nodes by the holder of the placement lease.
struct residency_change {
    std::string endpoint;
    model_name model;
    residency state = residency::absent;
    std::uint64_t version = 0;
    std::uint64_t run_tag = 0; ///< `run_tag_of` the engine's run; 0 if unknown.
};

/// Returns whether a change is of another run of the engine than the one that is listed.
inline bool is_outdated(const residency_change& change, const endpoint_record& listed) {
    return change.run_tag != 0 && change.run_tag != run_tag_of(listed.started_ms);
}

/// Decides which adapters the engines of one data centre load and unload. Run only by the holder of
/// the data centre's placement lease. At most one order is in flight to each engine. Each order
/// carries the number of orders that the engine is expected to have accepted; the engine rejects
/// it on any other count, so of the orders with the same count it executes one at most, which may
/// be a late one.
///
/// A rejected repeat is taken for the acceptance of its first attempt only if no other order, of
/// this node or of a former lease holder, can have changed the count. Otherwise one more adapter
/// counts as held until a report, so that no order exceeds an engine's room.
///
/// Load patterns it is designed for: a long tail of rare adapters, each requested once, beside a
/// few busy ones; demand that shifts to other adapters within seconds; engines that restart empty.
/// A rare adapter is placed on the engine that had it before, since engines load recent adapters
/// ten times as fast, and evicts the least popular adapter that has been idle for a while. Has no
/// clock and does no I/O.
class adapter_planner {
public:
    /// Timeout for the answer to an order: a round trip between regions, 40 ms, and some scheduling
    /// delays at both ends. The order is then sent again, which is harmless if the first one
    /// arrived.
    static constexpr std::chrono::milliseconds answer_time{150};

    adapter_planner();
    ~adapter_planner();
    adapter_planner(const adapter_planner&) = delete;
    adapter_planner& operator=(const adapter_planner&) = delete;

    void configure(const configuration& current);
    /// Adds or refreshes an engine of the data centre. Only the first record after an engine start
    /// sets its residency; later records are older than the outcomes of orders.
    void update(const endpoint_record& record);
    void remove(std::string_view endpoint);
    /// Applies a backoff that the engine asked for: it gets no order until then, and its adapters
    /// are loaded elsewhere for waiting calls.
    void pause(std::string_view endpoint, support::time_point until);
    /// Sets the engine's rate limit for all nodes together, in requests a second. While it has one,
    /// orders take at most half of it, and other engines load what is asked for.
    void set_limit(std::string_view endpoint, std::optional<double> per_s);
    /// Marks the engine as draining before its record shows it.
    void set_draining(std::string_view endpoint);

    void on_demand(const adapter_demand& demand, support::time_point now);
    /// Records the number of calls sent to engines with the adapter since the last time; 0 if only
    /// calls sent before are still running.
    void on_used(const model_name& model, support::time_point now, std::size_t calls = 1);
    void require_version(const model_name& model, std::uint64_t version);

    /// Records what the lease holder publishes about an engine, in case this node acquires the
    /// lease.
    void on_adapter_resident(std::string_view endpoint, const model_name& model);
    /// Requests a report from each engine before its first order, since records do not show the
    /// orders of the previous lease holder.
    void on_lease_acquired();

    /// Returns the orders to send, at most one for each engine without an order in flight.
    std::vector<planned_order> plan(support::time_point now);
    /// Returns whether an order was meant for the run of its engine that is in force. What comes of
    /// other orders changes nothing of that run's state.
    [[nodiscard]] bool concerns_present_run(const planned_order& order) const;
    void on_outcome(const planned_order& order, order_outcome outcome, support::time_point now);
    /// Applies a report. One of another run than the record's counts as failed.
    void on_report(std::string_view endpoint, const engine_report& report, support::time_point now);
    void on_report_failed(std::string_view endpoint, support::time_point now);

    /// Returns when `plan` has to run again if no event occurs.
    [[nodiscard]] std::optional<support::time_point> next_due() const;

    /// Returns the changes since the last call.
    std::vector<residency_change> take_changes();
    /// Returns the demand that ended without a load since the last call, for logs and metrics.
    std::vector<unmet_demand> take_unmet();
    /// Returns the residency of all models and adapters on all engines.
    [[nodiscard]] std::vector<residency_change> residencies() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::fleet
