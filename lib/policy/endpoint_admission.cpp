#include "endpoint_scheduler_impl.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace dragonflystair::policy {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortest_retry_after{100};
constexpr milliseconds longest_retry_after{30'000};
/// Wait that is told when nothing is measured that it could be computed from.
constexpr milliseconds usual_retry_after{1'000};

/// Factor on the expected wait, and mean deviations that are added to the expected service time.
struct margin {
    double wait;
    double spreads;
};
/// A request is admitted by a cautious estimate and refused in the queue only by an optimistic one.
/// With the plain mean in both places, one request in eight at 1.5 times capacity was admitted and
/// refused later (bench, crest).
constexpr margin admission_margin{1.1, 2};
constexpr margin queue_margin{0.9, -1};

support::duration scaled(support::duration time, double factor) {
    return std::chrono::duration_cast<support::duration>(time * factor);
}

/// Weight of a measurement about the store by its age.
double measured_weight(support::time_point measured, support::time_point now) {
    constexpr std::chrono::duration<double> half_life{5};
    return std::exp2(-std::max(0.0, (now - measured) / half_life - 1));
}

milliseconds retry_after(support::duration wait) {
    return std::clamp(std::chrono::ceil<milliseconds>(wait), shortest_retry_after,
                      longest_retry_after);
}

} // namespace

/// A slowdown shows in the age of what runs before anything finishes late: in a steady state the
/// mean age is about half of the service time, so a mean age above it means a slower engine.
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

/// Until a place is free for the short request with `ahead` short ones before it.
support::duration endpoint_scheduler::impl::short_wait(std::size_t ahead,
                                                       support::time_point now) const {
    const std::size_t taken = running_in(work_class::long_work) + foreign_running;
    const std::size_t places = limits.batch_limit > taken ? limits.batch_limit - taken : 1;
    const std::size_t before = ahead + running_in(work_class::short_work);
    const auto service_time = short_service(now);
    const auto alone = isolated_runs() ? service_time : support::duration{0};
    if (before < places) {
        return alone;
    }
    return alone + service_time * static_cast<std::int64_t>(before - places + 1) /
                       static_cast<std::int64_t>(places);
}

support::duration endpoint_scheduler::impl::long_wait(std::size_t ahead,
                                                      support::time_point now) const {
    const std::size_t before = ahead + running_in(work_class::long_work);
    // Short work goes first, but for at most `long_patience` per long request.
    const auto behind_short =
        std::min<support::duration>(short_wait(short_lane.size(), now), limits.long_patience);
    if (before < long_limit()) {
        return behind_short;
    }
    const auto turns = static_cast<std::int64_t>(before - long_limit() + 1);
    return behind_short + service.service(work_class::long_work, 0, now) * turns /
                              static_cast<std::int64_t>(long_limit());
}

/// Until a permit that is wanted now: the last ones took `permit_wait`, and those that are wanted
/// already come one by one. As with service times, what was measured loses weight with its age, so
/// that a store that was slow is tried again.
support::duration endpoint_scheduler::impl::expected_permit_wait(support::time_point now) const {
    const auto before = static_cast<std::int64_t>(loads_in(load_phase::wanted));
    const auto measured = std::max(permit_wait, permit_interval * (before + 1));
    return scaled(measured, measured_weight(last_permit, now));
}

support::duration endpoint_scheduler::impl::expected_load_time(support::time_point now) const {
    return limits.load_time + scaled(load_time - limits.load_time, measured_weight(last_load, now));
}

support::duration endpoint_scheduler::impl::load_wait(std::string_view adapter,
                                                      support::time_point now) const {
    if (slots.usable(adapter) && draining != adapter) {
        return support::duration{0};
    }
    const auto known = loads.find(adapter);
    if (known == loads.end()) {
        return expected_permit_wait(now) + expected_load_time(now);
    }
    const auto& record = known->second;
    const auto rest = [&](support::time_point since, support::duration whole) {
        return std::max(support::duration{0}, whole - (now - since));
    };
    switch (record.phase) {
    case load_phase::ordered:
        return rest(record.ordered_at, expected_load_time(now));
    case load_phase::granted:
        return expected_load_time(now);
    case load_phase::wanted:
        return rest(record.wanted_since, expected_permit_wait(now)) + expected_load_time(now);
    case load_phase::idle:
        break;
    }
    const auto retry = std::max(support::duration{0}, record.not_before - now);
    return retry + expected_permit_wait(now) + expected_load_time(now);
}

/// Whether loads are given up for now, which concerns all who wait for one.
std::optional<refusal> endpoint_scheduler::impl::load_hopeless(std::string_view adapter,
                                                               support::time_point now) const {
    if (slots.usable(adapter)) {
        return std::nullopt;
    }
    if (orders_blocked_since && now - *orders_blocked_since >= limits.permit_timeout) {
        return refusal{refusal_reason::store_unavailable, usual_retry_after};
    }
    const auto since = changed.find(adapter);
    if (slots.state(adapter) == slot_state::unloading && since != changed.end() &&
        now - since->second >= limits.permit_timeout) {
        return refusal{refusal_reason::no_endpoint, retry_after(limits.report_lag)};
    }
    const auto known = loads.find(adapter);
    if (known != loads.end() && known->second.hopeless(now)) {
        return refusal{refusal_reason::load_failed, retry_after(known->second.not_before - now)};
    }
    // While permits come for other adapters, a long wait for one is a queue and not an outage.
    const bool starved = std::ranges::any_of(loads, [&](const auto& item) {
        return item.second.phase == load_phase::wanted &&
               now - std::max(item.second.wanted_since, last_permit) >= limits.permit_timeout;
    });
    const bool under_way = known != loads.end() && (known->second.phase == load_phase::granted ||
                                                    known->second.phase == load_phase::ordered);
    if (starved && !under_way) {
        return refusal{
            refusal_reason::store_unavailable,
            retry_after(std::max<support::duration>(expected_permit_wait(now), usual_retry_after))};
    }
    return std::nullopt;
}

std::optional<refusal> endpoint_scheduler::impl::admission(const request& item, work_class which,
                                                           support::time_point now) const {
    if (leaving) {
        return refusal{refusal_reason::endpoint_leaving, shortest_retry_after};
    }
    if (queued_by_id.contains(item.id) || running.contains(item.id)) {
        return refusal{refusal_reason::duplicate, usual_retry_after};
    }
    const auto backlog = short_wait(short_lane.size(), now);
    if (queued_by_id.size() >= limits.queue_limit) {
        return refusal{refusal_reason::queue_full, retry_after(backlog)};
    }
    if (slots.forbidden(item.adapter)) {
        return refusal{refusal_reason::no_endpoint, retry_after(limits.report_lag)};
    }
    if (const auto why = load_hopeless(item.adapter, now)) {
        return why;
    }
    const auto& queue = which == work_class::short_work ? short_lane : long_lane;
    const auto ahead = static_cast<std::size_t>(
        std::distance(queue.begin(), queue.upper_bound({item.deadline, last_sequence})));
    const auto place_wait =
        which == work_class::short_work ? short_wait(ahead, now) : long_wait(ahead, now);
    const auto wait = std::max(place_wait, load_wait(item.adapter, now));
    const auto end =
        now + scaled(wait, admission_margin.wait) +
        service.service_with_spread(which, item.expected_tokens, admission_margin.spreads, now);
    if (end > item.deadline) {
        return refusal{refusal_reason::deadline_unreachable,
                       retry_after(std::max(wait, end - item.deadline))};
    }
    return std::nullopt;
}

void endpoint_scheduler::impl::refuse_late(lane_queue& queue, support::time_point now,
                                           actions& out) {
    std::size_t ahead = 0;
    for (auto place = queue.begin(); place != queue.end();) {
        const auto current = place++;
        const auto& entry = current->second;
        const bool is_short = entry.lane == work_class::short_work;
        const auto place_wait = is_short ? short_wait(ahead, now) : long_wait(ahead, now);
        const auto wait = std::max(place_wait, load_wait(entry.item.adapter, now));
        const auto end = now + scaled(wait, queue_margin.wait) +
                         service.service_with_spread(entry.lane, entry.item.expected_tokens,
                                                     queue_margin.spreads, now);
        if (end <= entry.item.deadline) {
            ++ahead;
            continue;
        }
        const refusal why{refusal_reason::deadline_unreachable,
                          retry_after(std::max(wait, end - entry.item.deadline))};
        out.emplace_back(refuse_action{remove(queue, current).item.id, why});
    }
}

void endpoint_scheduler::impl::refuse_hopeless(support::time_point now, actions& out) {
    if (leaving) {
        refuse_where(
            [](const queued_request&) {
                return refusal{refusal_reason::endpoint_leaving, shortest_retry_after};
            },
            out);
        return;
    }
    refuse_where(
        [&](const queued_request& entry) { return load_hopeless(entry.item.adapter, now); }, out);
    refuse_late(short_lane, now, out);
    refuse_late(long_lane, now, out);
}

} // namespace dragonflystair::policy
