#include "endpoint_scheduler_impl.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace dragonflystair::policy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{30'000};
/// Reported when no measurement is available to derive a delay from.
constexpr milliseconds default_retry_after{1'000};

/// Safety margin of an estimate: a factor on the expected wait, and the number of mean deviations
/// added to the expected service time.
struct estimate_margin {
    double wait;
    double deviations;
};
/// Admission uses a pessimistic estimate, refusal of a queued request an optimistic one. If both
/// used the plain mean, one request in eight would be admitted and refused later at 1.5 times
/// capacity.
constexpr estimate_margin admission_margin{1.1, 2};
constexpr estimate_margin queue_margin{0.9, -1};

support::duration scaled(support::duration time, double factor) {
    return std::chrono::duration_cast<support::duration>(time * factor);
}

/// Returns the weight of a measurement of the weight store, which decays with its age.
double measured_weight(support::time_point measured, support::time_point now) {
    constexpr std::chrono::duration<double> half_life{5};
    return std::exp2(-std::max(0.0, (now - measured) / half_life - 1));
}

milliseconds retry_after(support::duration wait) {
    return std::clamp(std::chrono::ceil<milliseconds>(wait), min_retry_after, max_retry_after);
}

} // namespace

/// Returns the expected service time of a short request. Takes the age of the running requests into
/// account, which shows a slowdown before any request finishes late: in a steady state their mean
/// age is about half of the service time, so a mean age above the measured service time means that
/// the engine has become slower.
support::duration endpoint_scheduler::impl::short_service(support::time_point now) const {
    support::duration ages{0};
    std::size_t count = 0;
    for (const auto& [id, item] : running) {
        if (item.lane == work_class::short_work) {
            ages += now - item.started;
            ++count;
        }
    }
    const auto measured = service.service(work_class::short_work, 0, now);
    if (count == 0 || measured.count() == 0) {
        return measured;
    }
    return std::max(measured, ages / static_cast<int>(count));
}

/// Returns the expected time until the batch has room for a short request with `ahead` short ones
/// queued before it.
support::duration endpoint_scheduler::impl::short_wait(std::size_t ahead,
                                                       support::time_point now) const {
    const std::size_t occupied = running_in(work_class::long_work) + former_owner_running;
    const std::size_t room = limits.batch_limit > occupied ? limits.batch_limit - occupied : 1;
    const std::size_t preceding = ahead + running_in(work_class::short_work);
    const auto service_time = short_service(now);
    const auto isolated_wait = isolated_running() ? service_time : support::duration{0};
    if (preceding < room) {
        return isolated_wait;
    }
    return isolated_wait + service_time * static_cast<std::int64_t>(preceding - room + 1) /
                               static_cast<std::int64_t>(room);
}

support::duration endpoint_scheduler::impl::long_wait(std::size_t ahead,
                                                      support::time_point now) const {
    const std::size_t preceding = ahead + running_in(work_class::long_work);
    // Short requests have precedence, but for at most `long_wait_limit` per long request.
    const auto behind_short =
        std::min<support::duration>(short_wait(short_lane.size(), now), limits.long_wait_limit);
    if (preceding < long_limit()) {
        return behind_short;
    }
    const auto rounds = static_cast<std::int64_t>(preceding - long_limit() + 1);
    return behind_short + service.service(work_class::long_work, 0, now) * rounds /
                              static_cast<std::int64_t>(long_limit());
}

/// Returns the expected time until a permit requested now is granted: the longer of the recent wait
/// for a permit and one grant interval per pending request, since permits come one by one. As with
/// service times, the measurement loses weight with its age, so that loads are attempted again
/// after a slowdown of the store.
support::duration endpoint_scheduler::impl::expected_permit_wait(support::time_point now) const {
    const auto preceding = static_cast<std::int64_t>(loads_in(load_phase::requested));
    const auto measured = std::max(permit_wait, permit_interval * (preceding + 1));
    return scaled(measured, measured_weight(last_permit, now));
}

support::duration endpoint_scheduler::impl::expected_load_time(support::time_point now) const {
    return limits.load_time + scaled(load_time - limits.load_time, measured_weight(last_load, now));
}

support::duration endpoint_scheduler::impl::load_wait(std::string_view adapter,
                                                      support::time_point now) const {
    if (slots.usable(adapter) && draining_adapter != adapter) {
        return support::duration{0};
    }
    const auto found = loads.find(adapter);
    if (found == loads.end()) {
        return expected_permit_wait(now) + expected_load_time(now);
    }
    const auto& record = found->second;
    const auto remaining = [&](support::time_point since, support::duration total) {
        return std::max(support::duration{0}, total - (now - since));
    };
    switch (record.phase) {
    case load_phase::ordered:
        return remaining(record.ordered_at, expected_load_time(now));
    case load_phase::granted:
        return expected_load_time(now);
    case load_phase::requested:
        return remaining(record.requested_at, expected_permit_wait(now)) + expected_load_time(now);
    case load_phase::idle:
        break;
    }
    const auto retry = std::max(support::duration{0}, record.not_before - now);
    return retry + expected_permit_wait(now) + expected_load_time(now);
}

/// Returns the refusal for all requests that wait for a load of this adapter, if no load can be
/// expected to succeed for now.
std::optional<refusal> endpoint_scheduler::impl::load_refusal(std::string_view adapter,
                                                              support::time_point now) const {
    if (slots.usable(adapter)) {
        return std::nullopt;
    }
    if (orders_blocked_since && now - *orders_blocked_since >= limits.permit_timeout) {
        return refusal{refusal_reason::store_unavailable, default_retry_after};
    }
    const auto since = slot_changed_at.find(adapter);
    if (slots.state(adapter) == slot_state::unloading && since != slot_changed_at.end() &&
        now - since->second >= limits.permit_timeout) {
        return refusal{refusal_reason::no_endpoint, retry_after(limits.max_report_age)};
    }
    const auto found = loads.find(adapter);
    if (found != loads.end() && found->second.suspended(now)) {
        return refusal{refusal_reason::load_failed, retry_after(found->second.not_before - now)};
    }
    // While other adapters still get permits, a long wait is a queue at the store and not an
    // outage.
    const bool permits_stalled = std::ranges::any_of(loads, [&](const auto& item) {
        return item.second.phase == load_phase::requested &&
               now - std::max(item.second.requested_at, last_permit) >= limits.permit_timeout;
    });
    const bool load_in_progress =
        found != loads.end() &&
        (found->second.phase == load_phase::granted || found->second.phase == load_phase::ordered);
    if (permits_stalled && !load_in_progress) {
        return refusal{refusal_reason::store_unavailable,
                       retry_after(std::max<support::duration>(expected_permit_wait(now),
                                                               default_retry_after))};
    }
    return std::nullopt;
}

std::optional<refusal> endpoint_scheduler::impl::admission(const request& req, work_class work,
                                                           support::time_point now) const {
    if (leaving) {
        return refusal{refusal_reason::endpoint_leaving, min_retry_after};
    }
    if (queued_by_id.contains(req.id) || running.contains(req.id)) {
        return refusal{refusal_reason::duplicate, default_retry_after};
    }
    const auto backlog = short_wait(short_lane.size(), now);
    if (queued_by_id.size() >= limits.queue_limit) {
        return refusal{refusal_reason::queue_full, retry_after(backlog)};
    }
    if (slots.marked_unusable(req.adapter)) {
        return refusal{refusal_reason::no_endpoint, retry_after(limits.max_report_age)};
    }
    if (const auto refused = load_refusal(req.adapter, now)) {
        return refused;
    }
    const auto& queue = work == work_class::short_work ? short_lane : long_lane;
    const auto ahead = static_cast<std::size_t>(
        std::distance(queue.begin(), queue.upper_bound({req.deadline, last_sequence})));
    const auto batch_wait =
        work == work_class::short_work ? short_wait(ahead, now) : long_wait(ahead, now);
    const auto wait = std::max(batch_wait, load_wait(req.adapter, now));
    const auto end =
        now + scaled(wait, admission_margin.wait) +
        service.service_with_margin(work, req.expected_tokens, admission_margin.deviations, now);
    if (end > req.deadline) {
        return refusal{refusal_reason::deadline_unreachable,
                       retry_after(std::max(wait, end - req.deadline))};
    }
    return std::nullopt;
}

void endpoint_scheduler::impl::refuse_unreachable_deadlines(lane_queue& queue,
                                                            support::time_point now, actions& out) {
    std::size_t ahead = 0;
    for (auto it = queue.begin(); it != queue.end();) {
        const auto current = it++;
        const auto& entry = current->second;
        const bool is_short = entry.lane == work_class::short_work;
        const auto batch_wait = is_short ? short_wait(ahead, now) : long_wait(ahead, now);
        const auto wait = std::max(batch_wait, load_wait(entry.req.adapter, now));
        const auto end = now + scaled(wait, queue_margin.wait) +
                         service.service_with_margin(entry.lane, entry.req.expected_tokens,
                                                     queue_margin.deviations, now);
        if (end <= entry.req.deadline) {
            ++ahead;
            continue;
        }
        const refusal refused{refusal_reason::deadline_unreachable,
                              retry_after(std::max(wait, end - entry.req.deadline))};
        out.emplace_back(refuse_action{remove(queue, current).req.id, refused});
    }
}

void endpoint_scheduler::impl::refuse_unservable(support::time_point now, actions& out) {
    if (leaving) {
        refuse_where(
            [](const queued_request&) {
                return refusal{refusal_reason::endpoint_leaving, min_retry_after};
            },
            out);
        return;
    }
    refuse_where([&](const queued_request& entry) { return load_refusal(entry.req.adapter, now); },
                 out);
    refuse_unreachable_deadlines(short_lane, now, out);
    refuse_unreachable_deadlines(long_lane, now, out);
}

} // namespace dragonflystair::policy
