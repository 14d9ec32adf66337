#include "dispatcher_impl.h"

#include <algorithm>

namespace dragonflystair::fleet {

namespace {

/// Bounds of Retry-After. A smaller minimum would return callers to the same queue.
constexpr milliseconds min_retry_after{150};
constexpr milliseconds max_retry_after{2'000};

/// Retry-After while no node may send orders to engines: about the time until a new lease holder
/// takes over.
constexpr milliseconds no_loads_retry_after{1'000};

/// Interval at which a call that waits for a load checks whether it is still in progress; each
/// check scans all endpoints.
constexpr milliseconds load_check_period{20};

/// Window over which the rate of placements is measured.
constexpr milliseconds rate_window{1'000};

/// Returns the part of a wait that is added to the Retry-After of a rejected call, from 0 to 1, so
/// that callers return at different times.
double retry_spread(const pending_call& call) {
    return static_cast<double>(call.number * 7 % 16) / 16;
}

/// Updates the rate of placements once a window has passed.
void measure_rate(service_state& state, time_point now) {
    if (now - state.window_start < rate_window) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - state.window_start;
    state.placed_per_s = static_cast<double>(state.placed) / elapsed.count();
    state.window_start = now;
    state.placed = 0;
}

/// No engine can ever serve the call, so it gets no Retry-After.
dispatch_decision too_large(const pending_call& call) {
    dispatch_decision decision;
    decision.number = call.number;
    decision.reason = refusal::too_large;
    return decision;
}

} // namespace

/// Returns the time in seconds after which a waiting call can be expected to start; 0 if nothing is
/// known.
double dispatcher::impl::expected_wait_s(const service_state& state, queue_position position) {
    const double for_calls_ahead =
        state.placed_per_s > 0 ? static_cast<double>(position.ahead) / state.placed_per_s : 0;
    return std::max(for_calls_ahead, position.min_wait_s);
}

dispatch_decision dispatcher::impl::refuse(const open_call& open, const service_state& state,
                                           queue_position position, bool adapter_missing) const {
    dispatch_decision decision;
    decision.number = open.call.number;
    decision.reason = adapter_missing ? refusal::no_adapter : refusal::no_capacity;
    double wait_ms = to_ms(min_retry_after) + expected_wait_s(state, position) * 1'000;
    // Each priority step towards less urgent calls adds half of the wait.
    wait_ms *= 1 + retry_spread(open.call) + 0.5 * open.call.priority;
    decision.retry_after = std::clamp(milliseconds(static_cast<std::int64_t>(wait_ms)),
                                      min_retry_after, max_retry_after);
    return decision;
}

/// Returns the number of calls that wait for permits for the endpoint and were evaluated before.
std::size_t dispatcher::impl::calls_before(const endpoint& target) const {
    const auto found = permit_demand.find(target.record.id);
    return found == permit_demand.end() ? 0 : found->second;
}

/// Returns when the endpoint accepts the next call, with `ahead` calls before it: when its backoff
/// has ended and a permit can be expected. Returns a past time if that does not delay the call.
time_point dispatcher::impl::available_at(const endpoint& target, std::size_t ahead) const {
    const auto backoff_end = target.paused_until.value_or(time_point{});
    if (permits == nullptr) {
        return backoff_end;
    }
    const auto permit_at = permits->expected_at(target.record.id, ahead, pumped_at);
    return permit_at > pumped_at ? std::max(backoff_end, permit_at) : backoff_end;
}

/// Returns the earliest time at which an eligible endpoint of the call accepts it, if that is
/// beyond its queue deadline; empty otherwise.
std::optional<time_point> dispatcher::impl::unavailable_past_deadline(const open_call& open) {
    std::optional<time_point> first;
    for (const auto* target : members(open.call.service)) {
        if (!is_eligible(*target, open.call)) {
            continue;
        }
        const auto available = available_at(*target, calls_before(*target));
        if (available <= open.call.queue_deadline) {
            return std::nullopt;
        }
        first = first ? std::min(*first, available) : available;
    }
    return first;
}

/// Returns why no endpoint accepts the call before its queue deadline.
refusal dispatcher::impl::unavailability(const open_call& open) {
    const bool limited = std::ranges::any_of(members(open.call.service), [&](const auto* target) {
        return is_eligible(*target, open.call) && !target->is_paused(open.call.queue_deadline);
    });
    return limited ? refusal::limited : refusal::paused;
}

/// Rejects a call that no eligible endpoint accepts before its queue deadline.
std::optional<dispatch_decision> dispatcher::impl::refuse_unavailable(const open_call& open,
                                                                      const service_state& state,
                                                                      queue_position position,
                                                                      time_point now) {
    const auto until = unavailable_past_deadline(open);
    if (!until) {
        return std::nullopt;
    }
    auto decision = refuse(open, state, position, open.adapter_missing);
    decision.reason = unavailability(open);
    auto wait = std::chrono::ceil<milliseconds>(*until - now);
    if (decision.reason == refusal::limited) {
        // The limit admits the callers one after another, so they return one after another.
        wait += std::chrono::ceil<milliseconds>(wait * retry_spread(open.call));
    }
    decision.retry_after += wait;
    return decision;
}

/// Returns whether a call past its queue deadline keeps waiting: its adapter is being loaded, and a
/// retry would cost more time than the rest of the load.
bool dispatcher::impl::awaits_load(open_call& open, time_point now) const {
    if (!open.adapter_missing || now >= open.call.load_deadline) {
        return false;
    }
    if (!open.awaits_load || now - open.load_checked_at >= load_check_period) {
        open.load_checked_at = now;
        return loading_endpoint(open.call.model) != nullptr;
    }
    return true;
}

/// Dispatches or rejects a call if that can be decided now; empty if it keeps waiting.
std::optional<dispatch_decision> dispatcher::impl::decide(open_call& open, queue_position position,
                                                          time_point now) {
    auto& state = services[open.call.service];
    measure_rate(state, now);
    if (exceeds_memory(open.call, state)) {
        return too_large(open.call);
    }
    const auto chosen = choose(open, state, now);
    if (chosen && !chosen->awaits_permit) {
        return place(open, *chosen, state, now);
    }
    open.adapter_missing = adapter_missing(open);
    const auto keep_waiting = [&]() -> std::optional<dispatch_decision> {
        if (chosen) {
            ++permit_demand[chosen->target->record.id];
        }
        return std::nullopt;
    };
    if (open.diverts_at && (open.adapter_missing || now >= *open.diverts_at ||
                            diverts_at_once(open, state, position.ahead, now))) {
        open.diverts_at.reset();
        if (ready_elsewhere(open.call)) {
            auto decision = refuse(open, state, position, open.adapter_missing);
            decision.reason = refusal::elsewhere;
            return decision;
        }
    }
    if (members(open.call.service).empty()) {
        auto decision = refuse(open, state, position, open.adapter_missing);
        decision.reason = refusal::no_endpoints;
        return decision;
    }
    if (auto decision = refuse_unavailable(open, state, position, now)) {
        return decision;
    }
    if (open.adapter_missing && !loads_possible && loading_endpoint(open.call.model) == nullptr) {
        auto decision = refuse(open, state, position, open.adapter_missing);
        decision.retry_after = no_loads_retry_after;
        return decision;
    }
    const bool wait_known = state.placed_per_s > 0 || position.min_wait_s > 0;
    const bool too_long = !open.adapter_missing && wait_known && open.call.excluded.empty() &&
                          now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                                    expected_wait_s(state, position))) >
                              open.call.queue_deadline;
    if (!too_long && now < open.call.queue_deadline) {
        return keep_waiting();
    }
    open.awaits_load = !too_long && awaits_load(open, now);
    if (open.awaits_load) {
        return keep_waiting();
    }
    auto decision = refuse(open, state, position, open.adapter_missing);
    if (too_long) {
        decision.reason = refusal::overloaded;
    } else if (open.adapter_missing) {
        refused_retry_after.insert_or_assign(open.call.model, decision.retry_after);
    }
    return decision;
}

} // namespace dragonflystair::fleet
