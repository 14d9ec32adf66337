#include "endpoint_scheduler_impl.h"

#include <algorithm>
#include <cassert>

namespace dragonflystair::policy {

std::size_t endpoint_scheduler::impl::running_in(work_class work) const {
    return static_cast<std::size_t>(
        std::ranges::count_if(running, [&](const auto& item) { return item.second.lane == work; }));
}

std::size_t endpoint_scheduler::impl::long_limit() const {
    const double share = static_cast<double>(limits.batch_limit) * limits.long_share;
    return std::max<std::size_t>(1, static_cast<std::size_t>(share));
}

bool endpoint_scheduler::impl::long_share_available() const {
    return running_in(work_class::long_work) < long_limit();
}

bool endpoint_scheduler::impl::isolated_running() const {
    return std::ranges::any_of(running, [](const auto& item) { return item.second.isolated; });
}

bool endpoint_scheduler::impl::ready(const queued_request& entry) const {
    return slots.usable(entry.req.adapter) && draining_adapter != entry.req.adapter;
}

lane_queue::iterator endpoint_scheduler::impl::first_ready(lane_queue& queue, bool isolated) {
    return std::ranges::find_if(queue, [&](const auto& item) {
        return item.second.req.isolated == isolated && ready(item.second);
    });
}

void endpoint_scheduler::impl::start(lane_queue& queue, lane_queue::iterator it,
                                     support::time_point now, actions& out) {
    const auto entry = remove(queue, it);
    [[maybe_unused]] const bool pinned = slots.pin(entry.req.adapter);
    assert(pinned && "only ready requests start");
    running.emplace(entry.req.id,
                    running_request{entry.req.adapter, entry.lane, now, entry.req.isolated});
    out.emplace_back(dispatch_action{entry.req.id, entry.lane == work_class::short_work});
}

void endpoint_scheduler::impl::dispatch(support::time_point now, actions& out) {
    if (isolated_running()) {
        return;
    }
    bool suspect_queued = false;
    for (auto* queue : {&short_lane, &long_lane}) {
        const auto suspect = first_ready(*queue, true);
        if (suspect == queue->end()) {
            continue;
        }
        if (running.empty() && former_owner_running == 0) {
            start(*queue, suspect, now, out);
            return;
        }
        suspect_queued = true;
    }
    // No new request starts until the batch is empty and the suspect can run in isolation. If long
    // requests are running, emptying the batch would take too long, so only further long requests
    // are held back.
    if (suspect_queued && running_in(work_class::long_work) == 0) {
        return;
    }
    while (running.size() + former_owner_running < limits.batch_limit) {
        const auto next_long = first_ready(long_lane, false);
        const bool long_may_start =
            !suspect_queued && next_long != long_lane.end() && long_share_available();
        const bool overdue =
            long_may_start && now - next_long->second.submitted >= limits.long_wait_limit &&
            (!last_overdue_start || now - *last_overdue_start >= limits.long_wait_limit);
        const auto next_short = first_ready(short_lane, false);
        if (overdue) {
            last_overdue_start = now;
            start(long_lane, next_long, now, out);
            continue;
        }
        if (next_short != short_lane.end()) {
            start(short_lane, next_short, now, out);
            continue;
        }
        if (!long_may_start) {
            return;
        }
        start(long_lane, next_long, now, out);
    }
}

} // namespace dragonflystair::policy
