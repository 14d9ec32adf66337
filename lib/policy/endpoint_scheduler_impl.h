#pragma once

#include "dragonflystair/policy/endpoint_scheduler.h"
#include "dragonflystair/policy/popularity.h"

#include "load_record.h"
#include "service_estimate.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace dragonflystair::policy {

/// A queued request.
struct queued_request {
    request req;
    work_class lane = work_class::short_work;
    support::time_point submitted;
};

/// A request in the engine's batch.
struct running_request {
    std::string adapter;
    work_class lane = work_class::short_work;
    support::time_point started;
    bool isolated = false;
};

/// Orders a lane by deadline; the sequence number keeps requests with equal deadlines in arrival
/// order.
using lane_key = std::pair<support::time_point, std::uint64_t>;
using lane_queue = std::map<lane_key, queued_request>;
using actions = std::vector<scheduler_action>;

/// Number of queued requests for one adapter, by lane.
struct lane_counts {
    std::size_t short_work = 0;
    std::size_t long_work = 0;
    [[nodiscard]] std::size_t total() const { return short_work + long_work; }
};

struct endpoint_scheduler::impl {
    explicit impl(scheduler_limits initial) : limits(initial), slots(initial.slots) {}

    scheduler_limits limits;
    slot_table slots;
    popularity demand;
    service_estimate service;
    lane_queue short_lane;
    lane_queue long_lane;
    std::map<std::string, std::pair<work_class, lane_key>, std::less<>> queued_by_id;
    std::map<std::string, running_request, std::less<>> running;
    std::map<std::string, lane_counts, std::less<>> queued_by_adapter;
    std::map<std::string, load_record, std::less<>> loads;
    // Adapters with an unload order that is not answered yet; true if the engine has restarted
    // since the order.
    std::map<std::string, bool, std::less<>> pending_unloads;
    // Time of the last change of each adapter's slot. Engine reports that may be older are not
    // applied to it.
    std::map<std::string, support::time_point, std::less<>> slot_changed_at;
    /// Adapter that gets no new requests until it can be evicted.
    std::optional<std::string> draining_adapter;
    std::vector<std::string> unneeded_permits;
    std::optional<support::time_point> takeover_time;
    std::optional<support::time_point> orders_blocked_since;
    std::optional<support::time_point> last_overdue_start;
    std::string engine_start;
    std::uint64_t last_sequence = 0;
    /// Number of adapters on which requests of a former owner run.
    std::size_t former_owner_running = 0;
    support::duration load_time{limits.load_time};
    support::duration permit_wait{0};
    /// Average interval between grants while requests for permits are pending.
    support::duration permit_interval{0};
    support::time_point last_permit;
    support::time_point last_load;
    bool orders_allowed = true;
    bool dispatch_allowed = true;
    bool leaving = false;

    // Queue (endpoint_queue.cpp).
    lane_queue& lane(work_class work);
    void enqueue(request req, work_class work, support::time_point now);
    queued_request remove(lane_queue& from, lane_queue::iterator it);
    void refuse_where(const std::function<std::optional<refusal>(const queued_request&)>& judge,
                      actions& out);
    [[nodiscard]] work_class lane_of(const request& req) const;

    // Admission (endpoint_admission.cpp).
    [[nodiscard]] std::optional<refusal> admission(const request& req, work_class lane,
                                                   support::time_point now) const;
    [[nodiscard]] std::optional<refusal> load_refusal(std::string_view adapter,
                                                      support::time_point now) const;
    [[nodiscard]] support::duration short_service(support::time_point now) const;
    [[nodiscard]] support::duration short_wait(std::size_t ahead, support::time_point now) const;
    [[nodiscard]] support::duration long_wait(std::size_t ahead, support::time_point now) const;
    [[nodiscard]] support::duration expected_permit_wait(support::time_point now) const;
    [[nodiscard]] support::duration expected_load_time(support::time_point now) const;
    [[nodiscard]] support::duration load_wait(std::string_view adapter,
                                              support::time_point now) const;
    void refuse_unservable(support::time_point now, actions& out);
    void refuse_unreachable_deadlines(lane_queue& lane, support::time_point now, actions& out);

    // Batch (endpoint_batch.cpp).
    void dispatch(support::time_point now, actions& out);
    void start(lane_queue& lane, lane_queue::iterator it, support::time_point now, actions& out);
    lane_queue::iterator first_ready(lane_queue& lane, bool isolated);
    [[nodiscard]] bool ready(const queued_request& entry) const;
    [[nodiscard]] std::size_t running_in(work_class lane) const;
    [[nodiscard]] std::size_t long_limit() const;
    [[nodiscard]] bool long_share_available() const;
    [[nodiscard]] bool isolated_running() const;

    // Loads (endpoint_loads.cpp).
    void plan_loads(support::time_point now, actions& out);
    void request_permit(const std::string& adapter, load_record& record, support::time_point now,
                        actions& out);
    void use_permit(const std::string& adapter, load_record& record, support::time_point now,
                    actions& out);
    void evict_one(support::time_point now, actions& out);
    void choose_draining_adapter(support::time_point now);
    void release_unneeded_permits(support::time_point now, actions& out);
    [[nodiscard]] std::optional<std::string> victim(support::time_point now) const;
    [[nodiscard]] bool evictable(std::string_view adapter) const;
    [[nodiscard]] std::size_t obtainable_slots() const;
    [[nodiscard]] std::size_t loads_in(load_phase phase) const;
    [[nodiscard]] double urgency(std::string_view adapter, const load_record& record) const;
    [[nodiscard]] std::size_t queued_for(std::string_view adapter) const;

    // Reports (endpoint_reports.cpp).
    std::vector<std::string> on_engine_restart();
    void apply_limits(const engine_report& report);
    void release_takeover(const engine_report& report, support::time_point now);
    [[nodiscard]] std::vector<std::string> unsettled(support::time_point now) const;
};

} // namespace dragonflystair::policy
