#include "dispatcher_impl.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

namespace {

/// Round trips between processes. Deployments specify one-way latencies of 0.5 to 1.4 ms between
/// data centres and 20 ms between regions.
constexpr double same_data_centre_ms = 0.2;
constexpr double same_region_ms = 3;
constexpr double other_region_ms = 40;
/// Added to the cost of endpoints in another region, since traffic between regions is billed by
/// volume.
constexpr double other_region_penalty_ms = 40;

/// A prompt is long if its prefill takes at least this share of the allowed gap between two events.
constexpr double long_prompt_gap_share = 0.25;
/// Added to the cost of an engine that is prefilling a long prompt, since its events are delayed.
constexpr double long_prompt_penalty_ms = 80;
/// Added to the cost of a long prompt for each running call, whose events its prefill delays.
constexpr double long_prompt_penalty_per_call_ms = 4;
/// The chosen endpoint counts as crowded if an endpoint without the adapter has a cost lower by
/// more than this.
constexpr double crowded_margin_ms = 40;

/// Lower bound of the health weight: a slow endpoint keeps a share of the calls, which shows when
/// it recovers.
constexpr double min_weight = 0.05;

/// Longest prefill backlog, as a share of a call's objective, at which the call is still sent to an
/// engine. Beyond that it stays in the node's queue, where urgent calls can overtake it.
constexpr double max_prefill_objective_share = 0.4;
/// The same limit as a share of the event gap that the engine's streams allow: an engine prefills
/// prompts between events, so all its streams stall meanwhile. The rest of the gap is left for
/// prompts that arrive in the meantime and for the decoding of the events.
constexpr double max_prefill_gap_share = 0.5;

/// Time over which the load of an endpoint is ramped up after a backoff that it asked for.
constexpr milliseconds ramp_up_time{1'000};

/// Returns the number of calls an endpoint may have at once: all slots, or a growing part of them
/// after a backoff.
std::size_t slots_after_pause(const endpoint& target, std::size_t slots, time_point now) {
    if (!target.paused_until || now - *target.paused_until >= ramp_up_time) {
        return slots;
    }
    const auto since_pause = now - *target.paused_until;
    const double share = to_ms(since_pause) / to_ms(ramp_up_time);
    return std::max<std::size_t>(static_cast<std::size_t>(static_cast<double>(slots) * share), 1);
}

} // namespace

bool dispatcher::impl::has_ready(const endpoint& target, const model_name& model) const {
    if (model.model.empty()) {
        return true;
    }
    if (!target.models.contains(model.model)) {
        return false;
    }
    if (model.adapter.empty()) {
        return true;
    }
    const auto found = target.adapters.find(model);
    return found != target.adapters.end() && found->second.state == residency::ready &&
           found->second.version >= required_version(model);
}

double dispatcher::impl::distance_ms(const endpoint& target) const {
    switch (layout.distance_to(target.record.data_centre)) {
    case topology::distance::same_data_centre:
        return same_data_centre_ms;
    case topology::distance::same_region:
        return same_region_ms;
    case topology::distance::other_region:
        return other_region_ms;
    }
    return other_region_ms;
}

/// Returns whether the endpoint is in service and in the data centre that the call is restricted
/// to.
bool dispatcher::impl::is_eligible(const endpoint& target, const pending_call& call) {
    return !target.out_of_service &&
           (call.data_centre.empty() || target.record.data_centre == call.data_centre);
}

/// Returns the longest prefill backlog of an engine at which the call may still be sent to it.
double dispatcher::impl::max_prefill_ms(const pending_call& call, const service_state& state) {
    const double for_call =
        max_prefill_objective_share * to_ms(call.objective_deadline - call.arrived);
    return state.max_event_gap_ms > 0
               ? std::min(for_call, max_prefill_gap_share * state.max_event_gap_ms)
               : for_call;
}

bool dispatcher::impl::is_long_prefill(std::size_t tokens, const service_state& state) {
    return state.max_event_gap_ms > 0 && state.speed.prefill_ms(static_cast<double>(tokens)) >=
                                             long_prompt_gap_share * state.max_event_gap_ms;
}

/// Returns the cost of sending a call to an endpoint; empty if the endpoint is not usable now.
std::optional<choice> dispatcher::impl::evaluate(endpoint& target, const open_call& open,
                                                 const service_state& state, time_point now) {
    const auto& call = open.call;
    if (target.suspended_until > now || target.is_paused(now) ||
        std::ranges::find(call.excluded, target.record.id) != call.excluded.end() ||
        !target.serves_model(call.model)) {
        return std::nullopt;
    }
    const double slow = slowness(target, now);
    // Calls for plain services have no prompt to read.
    const double tokens_per_ms = state.has_engines ? state.speed.tokens_per_ms() / slow : 0;
    const auto load = target.total(now, tokens_per_ms);
    const auto slots =
        state.has_engines && state.batch_slots > 0 ? state.batch_slots : target.record.slots;
    if (load.calls >= slots_after_pause(target, slots, now)) {
        return std::nullopt;
    }
    if (!has_memory(target, call, state, load.held_tokens, now)) {
        return std::nullopt;
    }
    const double weight = std::max(health.weight(target.record.id, now), min_weight);
    const double distance = distance_ms(target);
    choice result;
    result.target = &target;
    result.awaits_permit = permits != nullptr && !permits->allows(target.record.id, now);
    if (state.has_engines) {
        const auto cached = target.prompts.cached_tokens(call.model, call.prompt);
        result.pending_prefill_tokens = call.prompt_tokens - std::min(cached, call.prompt_tokens);
        result.tokens_ahead = load.pending_prefill_tokens;
        const double ahead_ms =
            slow * state.speed.prefill_ms(static_cast<double>(load.pending_prefill_tokens)) /
            weight;
        if (load.pending_prefill_tokens > 0 && ahead_ms > max_prefill_ms(call, state)) {
            return std::nullopt;
        }
        result.expected_ms = state.speed.first_event_ms() +
                             state.speed.prefill_ms(static_cast<double>(
                                 load.pending_prefill_tokens + result.pending_prefill_tokens));
    } else {
        result.expected_ms = state.plain_call_ms;
    }
    result.mean_ms = result.expected_ms;
    result.slowness = slow;
    result.expected_ms *= slow;
    const double fill = static_cast<double>(load.calls) / static_cast<double>(slots);
    const double work_ms =
        state.has_engines ? result.expected_ms * (1 + 0.5 * fill) : result.expected_ms * (1 + fill);
    result.cost_ms = distance + work_ms / weight;
    result.expected_ms += distance;
    result.late = learns_speed && result.expected_ms > to_ms(call.objective_deadline - now);
    if (is_long_prefill(load.pending_prefill_tokens, state)) {
        result.cost_ms += long_prompt_penalty_ms;
    }
    if (is_long_prefill(result.pending_prefill_tokens, state)) {
        result.cost_ms += long_prompt_penalty_per_call_ms * static_cast<double>(load.calls);
    }
    if (layout.distance_to(target.record.data_centre) == topology::distance::other_region) {
        result.cost_ms += other_region_penalty_ms;
    }
    return result;
}

std::span<endpoint* const> dispatcher::impl::members(std::string_view service) {
    if (member_index.empty()) {
        for (auto& [id, target] : endpoints) {
            if (!target.out_of_service) {
                member_index[target.record.service].push_back(&target);
            }
        }
    }
    const auto found = member_index.find(service);
    return found == member_index.end() ? std::span<endpoint* const>{} : found->second;
}

/// Returns the endpoint of least cost, or a random one of those that may be, if
/// `chooses_at_random`. One that needs a permit, or would be late, is returned only if no other is
/// usable.
std::optional<choice> dispatcher::impl::choose(const open_call& open, const service_state& state,
                                               time_point now) {
    std::optional<choice> best;
    std::vector<choice> usable;
    const bool random = chooses_at_random(open);
    for (auto* target : members(open.call.service)) {
        if (!is_eligible(*target, open.call) || !has_ready(*target, open.call.model)) {
            continue;
        }
        const auto candidate = evaluate(*target, open, state, now);
        if (candidate && (!best || *candidate < *best)) {
            best = candidate;
        }
        if (candidate && random) {
            usable.push_back(*candidate);
        }
    }
    if (best && random) {
        best = choose_at_random(usable, state, now);
    }
    if (!best || best->awaits_permit || open.call.model.adapter.empty()) {
        return best;
    }
    best->crowded = std::ranges::any_of(members(open.call.service), [&](auto* target) {
        if (!is_eligible(*target, open.call) || has_ready(*target, open.call.model)) {
            return false;
        }
        const auto other = evaluate(*target, open, state, now);
        return other && !other->awaits_permit && best->cost_ms > other->cost_ms + crowded_margin_ms;
    });
    return best;
}

void dispatcher::impl::record_use(const choice& chosen, const model_name& model) {
    if (model.adapter.empty()) {
        return;
    }
    const auto& target = *chosen.target;
    ++used[target.record.data_centre][model];
    if (layout.distance_to(target.record.data_centre) == topology::distance::other_region) {
        ++diverted[model];
    } else if (chosen.crowded) {
        ++crowded[model];
    }
}

dispatch_decision dispatcher::impl::place(open_call& open, const choice& chosen,
                                          service_state& state, time_point now) {
    auto& target = *chosen.target;
    open.state = call_state::placed;
    open.endpoint = target.record.id;
    open.endpoint_run = target.record.started_ms;
    open.placed_at = now;
    open.pending_prefill_tokens = chosen.pending_prefill_tokens;
    open.tokens_ahead = chosen.tokens_ahead;
    open.expected_ms = chosen.expected_ms;
    open.mean_ms = chosen.mean_ms;
    if (permits != nullptr) {
        permits->take(target.record.id, now);
    }
    ++target.own.calls;
    target.own.pending_prefill_tokens += chosen.pending_prefill_tokens;
    hold_memory(open, target, state, now);
    target.prompts.add(open.call.model, open.call.prompt);
    record_use(chosen, open.call.model);
    ++state.placed;
    dispatch_decision decision;
    decision.number = open.call.number;
    decision.endpoint = target.record.id;
    if (const auto version = required_version(open.call.model); version > 0) {
        const auto entry = target.adapters.find(open.call.model);
        decision.version = entry == target.adapters.end() ? version : entry->second.version;
    }
    return decision;
}

void dispatcher::impl::release(open_call& open) {
    if (open.state == call_state::waiting) {
        queue.erase(open.call.number);
        return;
    }
    loads_changed = true;
    const auto found = endpoints.find(open.endpoint);
    if (found == endpoints.end()) {
        return;
    }
    auto& own = found->second.own;
    own.calls -= std::min<std::size_t>(own.calls, 1);
    own.held_tokens -= std::min(own.held_tokens, std::exchange(open.held_tokens, 0));
    if (open.state == call_state::placed) {
        own.pending_prefill_tokens -=
            std::min(own.pending_prefill_tokens, open.pending_prefill_tokens);
    }
    if (found->second.out_of_service && own.calls == 0) {
        endpoints.erase(found);
        member_index.clear();
    }
}

/// Returns whether the call waits because no usable endpoint has its adapter, rather than because
/// the endpoints that have it are full. An endpoint whose rate limit admits it too late, after the
/// calls that were counted in `permit_demand` before, is not usable.
bool dispatcher::impl::adapter_missing(const open_call& open) {
    if (open.call.model.model.empty()) {
        return false;
    }
    return std::ranges::none_of(members(open.call.service), [&](const auto* target) {
        return is_eligible(*target, open.call) && has_ready(*target, open.call.model) &&
               available_at(*target, calls_before(*target)) <= open.call.queue_deadline;
    });
}

/// Returns whether an endpoint in another data centre than the call's has its adapter ready.
bool dispatcher::impl::ready_elsewhere(const pending_call& call) {
    return std::ranges::any_of(members(call.service), [&](const auto* target) {
        return target->record.data_centre != call.data_centre && has_ready(*target, call.model);
    });
}

std::string dispatcher::lead_data_centre(const pending_call& call,
                                         std::string_view excluded) const {
    const auto& layout = impl_->layout;
    std::map<topology::distance, std::set<std::string_view>> ready;
    for (const auto* target : impl_->members(call.service)) {
        const auto& data_centre = target->record.data_centre;
        if (data_centre != excluded && impl_->has_ready(*target, call.model)) {
            ready[layout.distance_to(data_centre)].insert(data_centre);
        }
    }
    if (!ready.empty()) {
        const auto& nearest = ready.begin()->second;
        // Spreads the calls over data centres at equal distance.
        const auto step = static_cast<std::ptrdiff_t>(call.number % nearest.size());
        return std::string(*std::next(nearest.begin(), step));
    }
    return excluded.empty() ? impl_->load_data_centre(call.model) : std::string(excluded);
}

/// Returns an endpoint on which the adapter is being loaded, or null.
const endpoint* dispatcher::impl::loading_endpoint(const model_name& model) const {
    for (const auto& [id, target] : endpoints) {
        const auto entry = target.adapters.find(model);
        if (!target.out_of_service && entry != target.adapters.end() &&
            entry->second.state == residency::loading) {
            return &target;
        }
    }
    return nullptr;
}

/// Returns the data centre that should load an adapter: where it is being loaded already; else
/// where it was last resident, since engines load recent adapters ten times as fast; else this one.
std::string dispatcher::impl::load_data_centre(const model_name& model) const {
    if (const auto* target = loading_endpoint(model)) {
        return target->record.data_centre;
    }
    if (const auto last = last_holders.find(model); last != last_holders.end()) {
        const auto holder = endpoints.find(last->second);
        if (holder != endpoints.end() && !holder->second.out_of_service) {
            return holder->second.record.data_centre;
        }
    }
    return layout.own();
}

} // namespace dragonflystair::fleet
