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

/// Limits of one endpoint and of its request queue.
struct scheduler_limits {
    std::size_t slots = 8;
    std::size_t batch_limit = 16;
    /// Share of the batch that long requests may occupy; at least one request.
    double long_share = 1.0 / 3.0;
    std::size_t queue_limit = 512;
    std::chrono::milliseconds load_time{250};
    /// Delay after a first failed load; doubles with each failure, up to 8 s.
    std::chrono::milliseconds load_retry_delay{500};

    /// Time for which queued requests wait for a load permit. When no permit arrives within it,
    /// they are refused, since the weight store is down or overloaded.
    std::chrono::milliseconds permit_timeout{3'000};

    /// Starvation limit for long requests: the first long request that has waited this long starts
    /// before short requests, at most once per such period. The long request at position n of the
    /// lane therefore gets a place in the batch after at most n such periods, provided that the
    /// long share has room and the adapter is resident.
    std::chrono::milliseconds long_wait_limit{5'000};

    /// Requests expected to produce more tokens than this use the long lane, whatever their class.
    double long_tokens = 1'000;

    /// Maximum age of the state shown by an engine report. A slot that changed more recently is not
    /// updated from the report.
    std::chrono::milliseconds max_report_age{2'000};

    /// Time within which a granted permit must lead to a load order; it is returned when no slot
    /// becomes free in time. Has to be shorter than the permit's lifetime by the duration of a
    /// load.
    std::chrono::milliseconds permit_use_timeout{2'000};
};

/// State of the engine as it reports it.
struct engine_report {
    /// Id of the engine's run; changes when the engine restarts.
    std::string start;
    std::vector<std::string> resident;
    std::vector<std::string> active; ///< Adapters with at least one running request.
    std::size_t slots = 0;
    std::size_t batch_limit = 0;
};

/// Send the request to the engine. Its adapter stays pinned until `on_finished`.
struct dispatch_action {
    std::string request;
    /// Set for short requests.
    bool priority = false;
};
/// Request a load permit; answered by `on_permit`. Repeated every second until the answer arrives.
struct request_permit_action {
    std::string adapter;
    double urgency = 0; ///< Number of queued requests for the adapter; long ones count less.
};
/// The permit is no longer needed: withdraw the request for it, or return it if it was granted.
struct release_permit_action {
    std::string adapter;
};
/// Send the engine a load order; answered by `on_load_done`.
struct load_action {
    std::string adapter;
};
/// Send the engine an unload order; answered by `on_unload_done`. For an endpoint that does not
/// check fencing numbers, the node first appends an eviction intent to the log.
struct unload_action {
    std::string adapter;
};
/// Refuse the request. The scheduler has already removed it.
struct refuse_action {
    std::string request;
    refusal cause;
};
using scheduler_action = std::variant<dispatch_action, request_permit_action, release_permit_action,
                                      load_action, unload_action, refuse_action>;

/// Load of an endpoint as published to the entry nodes for routing.
struct endpoint_load {
    std::vector<std::string> resident;
    std::size_t running = 0;
    std::size_t queued = 0;
    std::size_t batch_limit = 0;
    /// Expected queueing time of a new short request for a resident adapter.
    std::chrono::milliseconds expected_wait{0};
};

enum class finish_kind { done, cancelled, failed };

/// Schedules the requests of one endpoint: admission, the short and the long lane, adapter slots
/// and the engine's batch. Run by the node that owns the endpoint. Performs no I/O: the owner calls
/// `poll` after each event and at `next_wakeup`, and executes the returned actions. The owner must
/// report the result of every load and unload order exactly once, including orders sent before an
/// engine restart.
class endpoint_scheduler {
public:
    explicit endpoint_scheduler(scheduler_limits limits);
    ~endpoint_scheduler();
    endpoint_scheduler(const endpoint_scheduler&) = delete;
    endpoint_scheduler& operator=(const endpoint_scheduler&) = delete;
    endpoint_scheduler(endpoint_scheduler&&) noexcept;
    endpoint_scheduler& operator=(endpoint_scheduler&&) noexcept;

    /// Queues a request in its lane, or returns the reason why it is refused.
    std::optional<refusal> submit(request req, support::time_point now);

    /// Cancels a request whose caller has disconnected. Returns false if the request was queued (it
    /// is removed) or is unknown. Returns true if it was dispatched; the node then cancels the
    /// stream and calls `on_finished`.
    bool cancel(std::string_view request, support::time_point now);

    /// Returns the actions to execute now, in order.
    std::vector<scheduler_action> poll(support::time_point now);
    [[nodiscard]] std::optional<support::time_point> next_wakeup(support::time_point now) const;

    /// Reports the answer to a request for a permit.
    void on_permit(std::string_view adapter, bool granted, support::time_point now);
    /// Reports the result of a load order.
    void on_load_done(std::string_view adapter, bool loaded, support::time_point now);
    /// Reports the result of an unload order; `unloaded` is empty if the answer was lost.
    void on_unload_done(std::string_view adapter, std::optional<bool> unloaded,
                        support::time_point now);
    void on_first_token(std::string_view request, support::time_point now);
    /// Reports the end of a dispatched request and unpins its adapter.
    void on_finished(std::string_view request, finish_kind kind, std::size_t tokens,
                     support::time_point now);

    /// Applies an engine report. If the engine has restarted (changed `start`), clears the slots
    /// and returns the ids of the requests that were running, whose streams have ended.
    std::vector<std::string> on_report(const engine_report& report, support::time_point now);

    /// Takes over the endpoint when this node becomes its owner: the adapters that the engine
    /// reports become resident. `unusable` are adapters with an eviction intent that is not
    /// resolved.
    void on_takeover(const engine_report& report, std::span<const std::string> unusable,
                     support::time_point now);

    /// Allows an adapter again once the eviction intent of an earlier owner is resolved.
    void allow_adapter(std::string_view adapter);

    /// While dispatch is not allowed (the lease has lapsed and another node may take over), queued
    /// requests do not start; they wait, or are refused when they cannot meet their deadlines.
    void allow_dispatch(bool allowed);

    /// While orders are not allowed (the lease has lapsed or the log is unavailable), no loads or
    /// unloads are ordered.
    void allow_orders(bool allowed);

    /// Stops admission: queued requests are refused with `endpoint_leaving`, running ones finish.
    void begin_leaving();

    /// Resumes admission, after the configuration lists the endpoint's data centre again.
    void end_leaving();

    /// Requests a load of an adapter that no queued request needs yet (warming, extra replicas).
    /// Has no effect if the adapter is not absent or is marked unusable, or the endpoint is
    /// leaving.
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
