#pragma once

#include "dragonflystair/policy/request.h"
#include "dragonflystair/policy/slot_table.h"

#include <chrono>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonflystair::policy {

/// Limits of one endpoint and of its queue.
struct scheduler_limits {
    std::size_t slots = 8;
    std::size_t batch_limit = 16;
    double long_share = 1.0 / 3.0; ///< Share of the batch that long work may use; at least one.
    std::size_t queue_limit = 512;
    std::chrono::milliseconds load_time{250};
    std::chrono::milliseconds load_retry{500}; ///< First wait after a failed load; doubles to 8 s.

    /// After this time without a permit the waiters are refused, since the store is down or far
    /// behind.
    std::chrono::milliseconds permit_timeout{3'000};

    /// The first long request that waited this long starts before short work; at most one does so
    /// in each such period. The long request at position n of the lane therefore gets a free place
    /// after n times this at the latest, as long as the long share has room and its adapter is
    /// resident.
    std::chrono::milliseconds long_patience{5'000};

    /// Requests of this expected or learned length use the long lane whatever their class is.
    double long_tokens = 1'000;

    /// Age that an engine's report may have.
    std::chrono::milliseconds report_lag{2'000};

    /// A permit is dropped when no slot became free within this time; it has to be shorter than the
    /// permit's lifetime by the time of a load.
    std::chrono::milliseconds permit_use{2'000};
};

/// What the engine reported about itself.
struct engine_report {
    std::string start;
    std::vector<std::string> resident;
    std::vector<std::string> active; ///< Adapters with at least one running request.
    std::size_t slots = 0;
    std::size_t batch_limit = 0;
};

/// Send the request to the engine; its adapter is pinned until `on_finished`.
struct dispatch_action {
    std::string request;
    bool priority = false;
};
/// Ask for a load permit; answered by `on_permit`. Repeated each second while it is waited for.
struct request_permit_action {
    std::string adapter;
    double urgency = 0; ///< Waiting work, short work weighing more.
};
/// The permit that was asked for or granted is not needed any more: withdraw it or give it back.
struct release_permit_action {
    std::string adapter;
};
/// Order the engine to load; answered by `on_load_done`.
struct load_action {
    std::string adapter;
};
/// Order the engine to unload; answered by `on_unload_done`. For an endpoint that ignores fencing
/// the node appends the eviction intent first.
struct unload_action {
    std::string adapter;
};
/// Answer the caller with a refusal; the request is no longer known.
struct refuse_action {
    std::string request;
    refusal cause;
};
using scheduler_action = std::variant<dispatch_action, request_permit_action, release_permit_action,
                                      load_action, unload_action, refuse_action>;

/// What peers need to route to the endpoint.
struct endpoint_load {
    std::vector<std::string> resident;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t batch_limit = 0;
    std::chrono::milliseconds expected_wait{0}; ///< Of new short work on a resident adapter.
};

/// How a dispatched request ended.
enum class finish_kind { done, cancelled, failed };

/// Queue, lanes, slots and batch of one endpoint, run by its owner. Pure: the owner calls `poll`
/// after each event and at `next_wakeup`, and carries out the actions. Each load and unload order
/// is answered exactly once, also one that was sent before the engine restarted.
class endpoint_scheduler {
public:
    explicit endpoint_scheduler(scheduler_limits limits);
    ~endpoint_scheduler();
    endpoint_scheduler(const endpoint_scheduler&) = delete;
    endpoint_scheduler& operator=(const endpoint_scheduler&) = delete;
    endpoint_scheduler(endpoint_scheduler&&) noexcept;
    endpoint_scheduler& operator=(endpoint_scheduler&&) noexcept;

    /// Admits a request to its lane, or refuses it at once.
    std::optional<refusal> submit(request item, support::time_point now);

    /// The caller has gone. A queued request is dropped (false); for a dispatched one (true) the
    /// node cancels the stream and calls `on_finished`.
    bool cancel(std::string_view request, support::time_point now);

    /// Actions that are due.
    std::vector<scheduler_action> poll(support::time_point now);
    [[nodiscard]] std::optional<support::time_point> next_wakeup(support::time_point now) const;

    void on_permit(std::string_view adapter, bool granted, support::time_point now);
    void on_load_done(std::string_view adapter, bool loaded, support::time_point now);
    void on_unload_done(std::string_view adapter, std::optional<bool> unloaded,
                        support::time_point now);
    void on_first_token(std::string_view request, support::time_point now);
    void on_finished(std::string_view request, finish_kind how, std::size_t tokens,
                     support::time_point now);

    /// A report of the engine. A changed start id clears the slots; the ids of the requests that
    /// were running are returned, since their streams have ended.
    std::vector<std::string> on_report(const engine_report& report, support::time_point now);

    /// The grant is new: adopt what the engine holds; `unusable` are adapters with unresolved
    /// intents.
    void on_takeover(const engine_report& report, std::span<const std::string> unusable,
                     support::time_point now);

    /// An unresolved intent of an earlier session is resolved: the adapter may be used again.
    void allow_adapter(std::string_view adapter);

    /// While false (lease lapsed and another node may take over), queued requests are not started;
    /// they wait, or are refused when they cannot make their deadlines.
    void allow_dispatch(bool allowed);

    /// While false (lease lapsed, log outage), neither loads nor unloads are ordered.
    void allow_orders(bool allowed);

    /// Stops admitting; what is queued is refused with `endpoint_leaving`, what runs finishes.
    void begin_leaving();

    /// Admits again: the text names the endpoint's data centre again.
    void end_leaving();

    /// Asks for an adapter to be loaded although nothing waits for it here (warming, replicas).
    void prefetch(std::string_view adapter, double urgency, support::time_point now);

    [[nodiscard]] endpoint_load load(support::time_point now) const;
    [[nodiscard]] std::size_t running() const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] const slot_table& slots() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace dragonflystair::policy
