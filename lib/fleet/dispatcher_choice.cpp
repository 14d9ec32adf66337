#include "dispatcher_impl.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

namespace {

/// Round trips between processes; the deployments state 0.5 to 1.4 ms between data centres and
/// 20 ms between regions, one way.
constexpr double same_data_centre_ms = 0.2;
constexpr double same_region_ms = 3;
constexpr double other_region_ms = 40;
/// Added to another region's cost, since bytes between regions are paid by volume.
constexpr double other_region_penalty_ms = 40;

/// A prompt that takes this part of the allowed pause between two events to read is long.
constexpr double long_prompt_share = 0.25;
/// Added to the cost of an engine that is reading one, since events come late there.
constexpr double long_prompt_penalty_ms = 80;
/// Added to the cost of a long prompt for each running call, whose events it delays.
constexpr double disturbance_ms = 4;
/// An endpoint that costs this much more than the best is crowded.
constexpr double crowded_ms = 40;

/// An endpoint that is slower than its peers still gets this share, which shows when it recovers.
constexpr double least_weight = 0.05;

/// Prompt reading ahead of a call that keeps it in the node's queue, where urgent calls can still
/// pass, as a share of its objective.
constexpr double held_back_share = 0.4;
/// The same as a share of the pause that the streams which run there allow: an engine reads prompts
/// between the events of its streams, which all pause for it. The rest is left to prompts that
/// arrive meanwhile and to the events' own time.
constexpr double reading_pause_share = 0.5;

/// Bounds of Retry-After. Below the first a caller would come back into the same queue.
constexpr milliseconds least_retry_after{150};
constexpr milliseconds longest_retry_after{2'000};

/// Retry-After while no node gives orders to engines, about as long as a new one takes to follow.
constexpr milliseconds no_loads_retry_after{1'000};

/// Time over which work returns to an endpoint that had asked for a pause.
constexpr milliseconds return_time{1'000};

/// How often a call that waits for a load looks whether that is still under way, as each look goes
/// through all endpoints.
constexpr milliseconds load_look_period{20};

/// Window over which the rate of placements is measured.
constexpr milliseconds rate_window{1'000};

/// Calls that an endpoint may have at once: all places, or a growing part after a pause.
std::size_t places_after_pause(const endpoint& item, std::size_t slots, time_point now) {
    if (!item.paused_until || now - *item.paused_until >= return_time) {
        return slots;
    }
    const auto since_pause = now - *item.paused_until;
    const double share = to_ms(since_pause) / to_ms(return_time);
    return std::max<std::size_t>(static_cast<std::size_t>(static_cast<double>(slots) * share), 1);
}

} // namespace

bool dispatcher::impl::holds(const endpoint& item, const model_name& model) const {
    if (model.model.empty()) {
        return true;
    }
    if (!item.models.contains(model.model)) {
        return false;
    }
    if (model.adapter.empty()) {
        return true;
    }
    const auto found = item.adapters.find(model);
    return found != item.adapters.end() && found->second.state == residency::ready &&
           found->second.version >= required_version(model);
}

double dispatcher::impl::distance_ms(const endpoint& item) const {
    switch (places.distance_to(item.record.data_centre)) {
    case topology::distance::same_data_centre:
        return same_data_centre_ms;
    case topology::distance::same_region:
        return same_region_ms;
    case topology::distance::other_region:
        return other_region_ms;
    }
    return other_region_ms;
}

/// Whether the endpoint belongs to those that calls of this kind may go to at all.
bool dispatcher::impl::considers(const endpoint& item, const pending_call& call) {
    return !item.leaving &&
           (call.data_centre.empty() || item.record.data_centre == call.data_centre);
}

/// Longest that an engine may be reading prompts when it is sent another one.
double dispatcher::impl::longest_reading_ms(const pending_call& call, const service_state& state) {
    const double for_call = held_back_share * to_ms(call.objective_deadline - call.arrived);
    return state.longest_pause_ms > 0
               ? std::min(for_call, reading_pause_share * state.longest_pause_ms)
               : for_call;
}

bool dispatcher::impl::is_long(std::size_t tokens, const service_state& state) {
    return state.longest_pause_ms > 0 && state.speed.prefill_ms(static_cast<double>(tokens)) >=
                                             long_prompt_share * state.longest_pause_ms;
}

/// Cost of sending a call to an endpoint; nothing if it cannot or should not go there now.
std::optional<choice> dispatcher::impl::evaluate(endpoint& item, const open_call& open,
                                                 const service_state& state, time_point now) {
    const auto& call = open.call;
    if (item.suspended_until > now || item.pauses(now) ||
        std::ranges::find(call.excluded, item.record.id) != call.excluded.end() ||
        !item.serves_model(call.model)) {
        return std::nullopt;
    }
    const auto load = item.total(now, state.speed.tokens_per_ms());
    const auto slots =
        state.has_engines && state.batch_slots > 0 ? state.batch_slots : item.record.slots;
    if (load.calls >= places_after_pause(item, slots, now)) {
        return std::nullopt;
    }
    const double weight = std::max(health.weight(item.record.id, now), least_weight);
    const double distance = distance_ms(item);
    choice out;
    out.place = &item;
    if (state.has_engines) {
        const auto kept = item.prompts.kept_tokens(call.model, call.prompt);
        out.pending_prefill_tokens = call.prompt_tokens - std::min(kept, call.prompt_tokens);
        out.tokens_ahead = load.pending_prefill_tokens;
        const double ahead_ms =
            state.speed.prefill_ms(static_cast<double>(load.pending_prefill_tokens)) / weight;
        if (load.pending_prefill_tokens > 0 && ahead_ms > longest_reading_ms(call, state)) {
            return std::nullopt;
        }
        out.expected_ms = state.speed.first_event_ms() +
                          state.speed.prefill_ms(static_cast<double>(load.pending_prefill_tokens +
                                                                     out.pending_prefill_tokens));
    } else {
        out.expected_ms = state.work_ms;
    }
    const double fill = static_cast<double>(load.calls) / static_cast<double>(slots);
    const double work_ms =
        state.has_engines ? out.expected_ms * (1 + 0.5 * fill) : out.expected_ms * (1 + fill);
    out.cost_ms = distance + work_ms / weight;
    out.expected_ms += distance;
    if (is_long(load.pending_prefill_tokens, state)) {
        out.cost_ms += long_prompt_penalty_ms;
    }
    if (is_long(out.pending_prefill_tokens, state)) {
        out.cost_ms += disturbance_ms * static_cast<double>(load.calls);
    }
    if (places.distance_to(item.record.data_centre) == topology::distance::other_region) {
        out.cost_ms += other_region_penalty_ms;
    }
    return out;
}

std::span<endpoint* const> dispatcher::impl::members(std::string_view service) {
    if (member_index.empty()) {
        for (auto& [id, item] : endpoints) {
            if (!item.leaving) {
                member_index[item.record.service].push_back(&item);
            }
        }
    }
    const auto found = member_index.find(service);
    return found == member_index.end() ? std::span<endpoint* const>{} : found->second;
}

std::optional<choice> dispatcher::impl::choose(const open_call& open, const service_state& state,
                                               time_point now) {
    std::optional<choice> best;
    for (auto* item : members(open.call.service)) {
        if (!considers(*item, open.call) || !holds(*item, open.call.model)) {
            continue;
        }
        const auto candidate = evaluate(*item, open, state, now);
        if (candidate && (!best || candidate->cost_ms < best->cost_ms)) {
            best = candidate;
        }
    }
    if (!best) {
        return best;
    }
    best->crowded = std::ranges::any_of(members(open.call.service), [&](auto* item) {
        if (!considers(*item, open.call) || holds(*item, open.call.model)) {
            return false;
        }
        const auto other = evaluate(*item, open, state, now);
        return other && best->cost_ms > other->cost_ms + crowded_ms;
    });
    return best;
}

void dispatcher::impl::note_use(const choice& chosen, const model_name& model) {
    if (model.adapter.empty()) {
        return;
    }
    const auto& item = *chosen.place;
    ++used[item.record.data_centre][model];
    if (places.distance_to(item.record.data_centre) == topology::distance::other_region) {
        ++diverted[model];
    } else if (chosen.crowded) {
        ++crowded[model];
    }
}

dispatch_decision dispatcher::impl::place(open_call& open, const choice& chosen,
                                          service_state& state, time_point now) {
    auto& item = *chosen.place;
    open.state = call_state::placed;
    open.endpoint = item.record.id;
    open.placed_at = now;
    open.pending_prefill_tokens = chosen.pending_prefill_tokens;
    open.tokens_ahead = chosen.tokens_ahead;
    open.expected_ms = chosen.expected_ms;
    ++item.own.calls;
    item.own.pending_prefill_tokens += chosen.pending_prefill_tokens;
    item.prompts.add(open.call.model, open.call.prompt);
    note_use(chosen, open.call.model);
    ++state.placed;
    dispatch_decision decision;
    decision.number = open.call.number;
    decision.endpoint = item.record.id;
    if (const auto version = required_version(open.call.model); version > 0) {
        const auto held = item.adapters.find(open.call.model);
        decision.version = held == item.adapters.end() ? version : held->second.version;
    }
    return decision;
}

dispatch_decision dispatcher::impl::refuse(const open_call& open, const service_state& state,
                                           std::size_t ahead, bool missing) const {
    dispatch_decision decision;
    decision.number = open.call.number;
    decision.reason = missing ? refusal::no_adapter : refusal::no_capacity;
    double wait_ms = to_ms(least_retry_after);
    if (state.placed_per_s > 0) {
        wait_ms += static_cast<double>(ahead) / state.placed_per_s * 1'000;
    }
    // Spreads the returns over as much time again, the less urgent later.
    const double spread = static_cast<double>(open.call.number * 7 % 16) / 16;
    wait_ms *= 1 + spread + 0.5 * open.call.priority;
    decision.retry_after = std::clamp(milliseconds(static_cast<std::int64_t>(wait_ms)),
                                      least_retry_after, longest_retry_after);
    return decision;
}

void dispatcher::impl::release(open_call& open) {
    if (open.state == call_state::waiting) {
        std::erase(queue, open.call.number);
        return;
    }
    changed = true;
    const auto found = endpoints.find(open.endpoint);
    if (found == endpoints.end()) {
        return;
    }
    auto& own = found->second.own;
    own.calls -= std::min<std::size_t>(own.calls, 1);
    if (open.state == call_state::placed) {
        own.pending_prefill_tokens -=
            std::min(own.pending_prefill_tokens, open.pending_prefill_tokens);
    }
    if (found->second.leaving && own.calls == 0) {
        endpoints.erase(found);
        member_index.clear();
    }
}

/// Whether every usable endpoint lacks the call's adapter, rather than being full.
bool dispatcher::impl::adapter_missing(const open_call& open) {
    if (open.call.model.model.empty()) {
        return false;
    }
    return std::ranges::none_of(members(open.call.service), [&](const auto* item) {
        return considers(*item, open.call) && holds(*item, open.call.model) &&
               !item->pauses(open.call.queue_deadline);
    });
}

/// Whether an endpoint of a data centre that was not asked could run the call.
bool dispatcher::impl::ready_elsewhere(const pending_call& call) {
    return std::ranges::any_of(members(call.service), [&](const auto* item) {
        return item->record.data_centre != call.data_centre && holds(*item, call.model);
    });
}

std::string dispatcher::lead_data_centre(const pending_call& call, std::string_view passed) const {
    const auto& places = impl_->places;
    std::map<topology::distance, std::set<std::string_view>> ready;
    for (const auto* item : impl_->members(call.service)) {
        const auto& place = item->record.data_centre;
        if (place != passed && impl_->holds(*item, call.model)) {
            ready[places.distance_to(place)].insert(place);
        }
    }
    if (!ready.empty()) {
        const auto& nearest = ready.begin()->second;
        // Spreads the calls over data centres that are equally near.
        const auto step = static_cast<std::ptrdiff_t>(call.number % nearest.size());
        return std::string(*std::next(nearest.begin(), step));
    }
    return passed.empty() ? impl_->loading_place(call.model) : std::string(passed);
}

/// An endpoint on which the adapter is being loaded, or null.
const endpoint* dispatcher::impl::loading(const model_name& model) const {
    for (const auto& [id, item] : endpoints) {
        const auto held = item.adapters.find(model);
        if (!item.leaving && held != item.adapters.end() &&
            held->second.state == residency::loading) {
            return &item;
        }
    }
    return nullptr;
}

/// Data centre that should load an adapter: where it is being loaded already, where it was held
/// last, since engines load recent adapters ten times as fast, or this one.
std::string dispatcher::impl::loading_place(const model_name& model) const {
    if (const auto* place = loading(model)) {
        return place->record.data_centre;
    }
    if (const auto last = last_holders.find(model); last != last_holders.end()) {
        const auto holder = endpoints.find(last->second);
        if (holder != endpoints.end() && !holder->second.leaving) {
            return holder->second.record.data_centre;
        }
    }
    return places.own();
}

/// When the first of the endpoints that a call could go to may be used again, if all of them are to
/// be left alone for longer than the call can wait.
std::optional<time_point> dispatcher::impl::paused_beyond(const open_call& open) {
    std::optional<time_point> first;
    for (const auto* item : members(open.call.service)) {
        if (!considers(*item, open.call)) {
            continue;
        }
        if (!item->pauses(open.call.queue_deadline)) {
            return std::nullopt;
        }
        first = first ? std::min(*first, *item->paused_until) : *item->paused_until;
    }
    return first;
}

/// Whether a call that should be refused waits on: its adapter is on its way, and coming back would
/// cost it more time than the rest of the load.
bool dispatcher::impl::awaits_load(open_call& open, time_point now) const {
    if (!open.missing || now >= open.call.load_deadline) {
        return false;
    }
    if (!open.awaits_load || now - open.load_looked_at >= load_look_period) {
        open.load_looked_at = now;
        return loading(open.call.model) != nullptr;
    }
    return true;
}

/// Places or refuses a call if that can be decided now; nothing if it goes on waiting.
std::optional<dispatch_decision> dispatcher::impl::decide(open_call& open, std::size_t ahead,
                                                          time_point now) {
    auto& state = services[open.call.service];
    if (now - state.window_start >= rate_window) {
        state.placed_per_s = static_cast<double>(state.placed) /
                             std::chrono::duration<double>(now - state.window_start).count();
        state.window_start = now;
        state.placed = 0;
    }
    if (const auto chosen = choose(open, state, now)) {
        return place(open, *chosen, state, now);
    }
    open.missing = adapter_missing(open);
    if (open.passes_at && (open.missing || now >= *open.passes_at)) {
        open.passes_at.reset();
        if (ready_elsewhere(open.call)) {
            auto decision = refuse(open, state, ahead, open.missing);
            decision.reason = refusal::elsewhere;
            return decision;
        }
    }
    if (members(open.call.service).empty()) {
        auto decision = refuse(open, state, ahead, open.missing);
        decision.reason = refusal::no_endpoints;
        return decision;
    }
    if (const auto until = paused_beyond(open)) {
        auto decision = refuse(open, state, ahead, open.missing);
        decision.reason = refusal::paused;
        decision.retry_after += std::chrono::ceil<milliseconds>(*until - now);
        return decision;
    }
    if (open.missing && !loads_possible && loading(open.call.model) == nullptr) {
        auto decision = refuse(open, state, ahead, open.missing);
        decision.retry_after = no_loads_retry_after;
        return decision;
    }
    const bool too_long = !open.missing && state.placed_per_s > 0 && open.call.excluded.empty() &&
                          now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                                    static_cast<double>(ahead) / state.placed_per_s)) >
                              open.call.queue_deadline;
    if (!too_long && now < open.call.queue_deadline) {
        return std::nullopt;
    }
    open.awaits_load = !too_long && awaits_load(open, now);
    if (open.awaits_load) {
        return std::nullopt;
    }
    auto decision = refuse(open, state, ahead, open.missing);
    if (too_long) {
        decision.reason = refusal::overloaded;
    } else if (open.missing) {
        returning.insert_or_assign(open.call.model, decision.retry_after);
    }
    return decision;
}

} // namespace dragonflystair::fleet
