#include "dragonflystair/fleet/dispatcher.h"

#include "dragonflystair/policy/endpoint_health.h"

#include "prompt_cache.h"

#include <algorithm>
#include <set>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::duration;
using support::time_point;

namespace {

/// Round trips between processes; the deployments state 0.5 to 1.4 ms between data centres and
/// 20 ms between regions, one way.
constexpr double same_data_centre_ms = 0.2;
constexpr double same_region_ms = 3;
constexpr double other_region_ms = 40;
/// Added to another region's cost, since bytes between regions are paid by volume.
constexpr double other_region_penalty_ms = 40;

/// Prompt tokens that an engine reads in a millisecond; the deployments state 38 to 44.
constexpr double prefill_tokens_per_ms = 38;
/// Time to the first event beside the reading of prompts, with few calls in the batch.
constexpr double first_event_ms = 25;
/// Time of a plain call until it was measured; the deployments state 15 and 30 ms.
constexpr double plain_work_ms = 25;
/// Weight of a new sample in a running mean; about the last ten samples count.
constexpr double sample_weight = 0.1;

/// A prompt of this many tokens takes longer to read than the pause between two events may be.
constexpr std::size_t long_prompt_tokens = 3'000;
/// Added to the cost of an engine that is reading one, since events come late there.
constexpr double long_prompt_penalty_ms = 80;
/// Added to the cost of a long prompt for each running call, whose events it delays.
constexpr double disturbance_ms = 4;
/// An endpoint that costs this much more than the best is crowded.
constexpr double crowded_ms = 40;

/// An endpoint that is slower than its peers still gets this share, which shows when it recovers.
constexpr double least_weight = 0.05;

/// Less urgent calls wait as if they had come this much later per step of priority. It is a fifth
/// of a usual objective, so that they are delayed and not starved.
constexpr milliseconds priority_step{150};

/// Prompt reading ahead of a call that keeps it in the node's queue, where urgent calls can still
/// pass, as a share of its objective.
constexpr double held_back_share = 0.6;

/// Bounds of Retry-After. Below the first a caller would come back into the same queue.
constexpr milliseconds least_retry_after{150};
constexpr milliseconds longest_retry_after{2'000};

/// Retry-After while no node gives orders to engines, about as long as a new one takes to follow.
constexpr milliseconds no_loads_retry_after{1'000};

/// Window over which the rate of placements is measured.
constexpr milliseconds rate_window{1'000};

double to_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

struct resident {
    residency state = residency::absent;
    std::uint64_t version = 0;
};

struct endpoint {
    endpoint_record record;
    bool leaving = false;
    time_point suspended_until;
    std::map<model_name, resident> adapters;
    std::set<std::string, std::less<>> models;
    endpoint_load own;
    std::map<std::string, endpoint_load, std::less<>> peers;
    prompt_cache prompts;

    [[nodiscard]] bool serves_model(const model_name& what) const {
        return what.model.empty() || models.contains(what.model);
    }

    [[nodiscard]] endpoint_load total() const {
        endpoint_load sum = own;
        for (const auto& [peer, load] : peers) {
            sum.calls += load.calls;
            sum.unread_tokens += load.unread_tokens;
        }
        return sum;
    }
};

struct service_state {
    bool has_engines = false;
    std::size_t batch_slots = 0;
    double work_ms = plain_work_ms;
    time_point window_start;
    std::size_t placed = 0;
    double placed_per_s = 0; ///< 0 until a whole window was measured.
};

enum class call_state { waiting, placed, started };

struct open_call {
    pending_call call;
    call_state state = call_state::waiting;
    std::string endpoint;
    time_point placed_at;
    std::size_t unread_tokens = 0;
    double expected_ms = 0;
    bool fresh = true;    ///< Not looked at yet.
    bool missing = false; ///< It waits for its adapter rather than for a place.
};

struct choice {
    endpoint* place = nullptr;
    double cost_ms = 0;
    double expected_ms = 0;
    std::size_t unread_tokens = 0;
    bool crowded = false; ///< An endpoint without the adapter would have cost much less.
};

} // namespace

std::string_view to_string(refusal reason) {
    switch (reason) {
    case refusal::no_endpoints:
        return "no_endpoints";
    case refusal::overloaded:
        return "overloaded";
    case refusal::no_capacity:
        return "no_capacity";
    case refusal::no_adapter:
        return "no_adapter";
    }
    return "no_capacity";
}

struct dispatcher::impl {
    explicit impl(topology chosen) : places(std::move(chosen)) {}

    [[nodiscard]] std::uint64_t required_version(const model_name& what) const {
        const auto found = required.find(what);
        return found == required.end() ? 0 : found->second;
    }
    [[nodiscard]] bool holds(const endpoint& item, const model_name& what) const;
    [[nodiscard]] double distance_ms(const endpoint& item) const;
    std::optional<choice> evaluate(endpoint& item, const open_call& open,
                                   const service_state& state, time_point now);
    std::optional<choice> choose(const open_call& open, const service_state& state, time_point now);
    dispatch_decision place(open_call& open, const choice& chosen, service_state& state,
                            time_point now);
    dispatch_decision refuse(const open_call& open, const service_state& state, std::size_t ahead,
                             bool adapter_missing) const;
    std::optional<dispatch_decision> decide(open_call& open, std::size_t ahead, time_point now);
    void release(open_call& open);
    void note_use(const choice& chosen, const model_name& what);
    [[nodiscard]] bool has_endpoint(std::string_view service) const;
    [[nodiscard]] bool adapter_missing(const open_call& open) const;
    [[nodiscard]] const endpoint* loading(const model_name& what) const;
    [[nodiscard]] std::string loading_place(const model_name& what) const;

    topology places;
    bool loads_possible = true;
    std::map<std::string, endpoint, std::less<>> endpoints;
    std::map<std::string, service_state, std::less<>> services;
    std::map<model_name, std::uint64_t> required;
    std::map<std::uint64_t, open_call> calls;
    std::vector<std::uint64_t> queue;
    bool changed = false;              ///< Something that calls may wait for, since the last pump.
    bool has_fresh = false;            ///< The queue has calls that were not looked at.
    std::size_t waiting_for_place = 0; ///< Calls whose adapter is ready somewhere.
    bool new_demand = false;           ///< A call began to wait for an adapter.
    policy::endpoint_health health;
    std::map<model_name, std::string> last_holders;
    std::map<model_name, std::size_t> diverted;
    std::map<model_name, std::size_t> crowded;
    std::map<std::string, std::set<model_name>> used;
};

bool dispatcher::impl::holds(const endpoint& item, const model_name& what) const {
    if (what.model.empty()) {
        return true;
    }
    if (!item.models.contains(what.model)) {
        return false;
    }
    if (what.adapter.empty()) {
        return true;
    }
    const auto found = item.adapters.find(what);
    return found != item.adapters.end() && found->second.state == residency::ready &&
           found->second.version >= required_version(what);
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

/// Cost of sending a call to an endpoint; nothing if it cannot or should not go there now.
std::optional<choice> dispatcher::impl::evaluate(endpoint& item, const open_call& open,
                                                 const service_state& state, time_point now) {
    const auto& call = open.call;
    if (item.leaving || item.suspended_until > now || item.record.service != call.service ||
        std::ranges::find(call.excluded, item.record.id) != call.excluded.end() ||
        !item.serves_model(call.model)) {
        return std::nullopt;
    }
    const auto load = item.total();
    const auto slots =
        state.has_engines && state.batch_slots > 0 ? state.batch_slots : item.record.slots;
    if (load.calls >= slots) {
        return std::nullopt;
    }
    const double weight = std::max(health.weight(item.record.id, now), least_weight);
    const double distance = distance_ms(item);
    choice out;
    out.place = &item;
    if (state.has_engines) {
        const auto kept = item.prompts.kept_tokens(call.model, call.prompt);
        out.unread_tokens = call.prompt_tokens - std::min(kept, call.prompt_tokens);
        const double ahead_ms =
            static_cast<double>(load.unread_tokens) / prefill_tokens_per_ms / weight;
        const double objective_ms = to_ms(call.objective_at - call.arrived);
        if (load.unread_tokens > 0 && ahead_ms > held_back_share * objective_ms) {
            return std::nullopt;
        }
        out.expected_ms = first_event_ms + (static_cast<double>(load.unread_tokens) +
                                            static_cast<double>(out.unread_tokens)) /
                                               prefill_tokens_per_ms;
    } else {
        out.expected_ms = state.work_ms;
    }
    const double fill = static_cast<double>(load.calls) / static_cast<double>(slots);
    const double work_ms =
        state.has_engines ? out.expected_ms * (1 + 0.5 * fill) : out.expected_ms * (1 + fill);
    out.cost_ms = distance + work_ms / weight;
    out.expected_ms += distance;
    if (load.unread_tokens >= long_prompt_tokens) {
        out.cost_ms += long_prompt_penalty_ms;
    }
    if (out.unread_tokens >= long_prompt_tokens) {
        out.cost_ms += disturbance_ms * static_cast<double>(load.calls);
    }
    if (places.distance_to(item.record.data_centre) == topology::distance::other_region) {
        out.cost_ms += other_region_penalty_ms;
    }
    return out;
}

std::optional<choice> dispatcher::impl::choose(const open_call& open, const service_state& state,
                                               time_point now) {
    std::optional<choice> best;
    std::optional<double> least_ms;
    for (auto& [id, item] : endpoints) {
        const auto candidate = evaluate(item, open, state, now);
        if (!candidate) {
            continue;
        }
        if (!least_ms || candidate->cost_ms < *least_ms) {
            least_ms = candidate->cost_ms;
        }
        if (holds(item, open.call.model) && (!best || candidate->cost_ms < best->cost_ms)) {
            best = candidate;
        }
    }
    if (best && best->cost_ms > *least_ms + crowded_ms) {
        best->crowded = true;
    }
    return best;
}

void dispatcher::impl::note_use(const choice& chosen, const model_name& what) {
    if (what.adapter.empty()) {
        return;
    }
    const auto& item = *chosen.place;
    used[item.record.data_centre].insert(what);
    if (places.distance_to(item.record.data_centre) == topology::distance::other_region) {
        ++diverted[what];
    } else if (chosen.crowded) {
        ++crowded[what];
    }
}

dispatch_decision dispatcher::impl::place(open_call& open, const choice& chosen,
                                          service_state& state, time_point now) {
    auto& item = *chosen.place;
    open.state = call_state::placed;
    open.endpoint = item.record.id;
    open.placed_at = now;
    open.unread_tokens = chosen.unread_tokens;
    open.expected_ms = chosen.expected_ms;
    ++item.own.calls;
    item.own.unread_tokens += chosen.unread_tokens;
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
    const auto found = endpoints.find(open.endpoint);
    if (found == endpoints.end()) {
        return;
    }
    auto& own = found->second.own;
    own.calls -= std::min<std::size_t>(own.calls, 1);
    if (open.state == call_state::placed) {
        own.unread_tokens -= std::min(own.unread_tokens, open.unread_tokens);
    }
    if (found->second.leaving && own.calls == 0) {
        endpoints.erase(found);
    }
}

bool dispatcher::impl::has_endpoint(std::string_view service) const {
    return std::ranges::any_of(endpoints, [&](const auto& item) {
        return !item.second.leaving && item.second.record.service == service;
    });
}

/// Whether every usable endpoint lacks the call's adapter, rather than being full.
bool dispatcher::impl::adapter_missing(const open_call& open) const {
    if (open.call.model.model.empty()) {
        return false;
    }
    return std::ranges::none_of(endpoints, [&](const auto& item) {
        return !item.second.leaving && item.second.record.service == open.call.service &&
               holds(item.second, open.call.model);
    });
}

/// An endpoint on which the adapter is being loaded, or null.
const endpoint* dispatcher::impl::loading(const model_name& what) const {
    for (const auto& [id, item] : endpoints) {
        const auto held = item.adapters.find(what);
        if (!item.leaving && held != item.adapters.end() &&
            held->second.state == residency::loading) {
            return &item;
        }
    }
    return nullptr;
}

/// Data centre that should load an adapter: where it is being loaded already, where it was held
/// last, since engines load recent adapters ten times as fast, or this one.
std::string dispatcher::impl::loading_place(const model_name& what) const {
    if (const auto* place = loading(what)) {
        return place->record.data_centre;
    }
    if (const auto last = last_holders.find(what); last != last_holders.end()) {
        const auto holder = endpoints.find(last->second);
        if (holder != endpoints.end() && !holder->second.leaving) {
            return holder->second.record.data_centre;
        }
    }
    return places.own();
}

dispatcher::dispatcher(topology places) : impl_(std::make_unique<impl>(std::move(places))) {}

dispatcher::~dispatcher() = default;

void dispatcher::configure(const configuration& current) {
    impl_->changed = true;
    for (const auto& [name, item] : current.services) {
        auto& state = impl_->services[name];
        state.has_engines = item.has_engines;
        state.batch_slots = item.engines.batch_slots;
    }
}

void dispatcher::update(const endpoint_record& record) {
    impl_->changed = true;
    auto& item = impl_->endpoints[record.id];
    const bool restarted =
        item.record.started_ms != record.started_ms || item.record.address != record.address;
    if (restarted) {
        item.adapters.clear();
        item.models.clear();
        item.prompts.clear();
        item.suspended_until = {};
    }
    const bool older = !restarted && record.orders_accepted < item.record.orders_accepted;
    item.leaving = record.draining;
    item.record = record;
    if (older) {
        return;
    }
    item.models.clear();
    for (const auto& model : record.models) {
        item.models.insert(model.name);
        for (const auto& adapter : model.adapters) {
            auto& held = item.adapters[{model.name, adapter.name}];
            if (held.state == residency::absent && restarted) {
                held.state = residency::ready;
            }
            held.version = std::max(held.version, adapter.version);
        }
    }
}

void dispatcher::remove(std::string_view endpoint) {
    impl_->changed = true;
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return;
    }
    found->second.leaving = true;
    if (found->second.own.calls == 0) {
        impl_->endpoints.erase(found);
    }
}

void dispatcher::suspend(std::string_view endpoint, time_point until) {
    if (const auto found = impl_->endpoints.find(endpoint); found != impl_->endpoints.end()) {
        found->second.suspended_until = std::max(found->second.suspended_until, until);
    }
}

void dispatcher::set_residency(std::string_view endpoint, const model_name& what, residency state,
                               std::uint64_t version) {
    impl_->changed = impl_->changed || state == residency::ready;
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return;
    }
    if (what.adapter.empty()) {
        if (state == residency::ready) {
            found->second.models.insert(what.model);
        } else {
            found->second.models.erase(what.model);
        }
        return;
    }
    if (state == residency::absent) {
        if (found->second.adapters.erase(what) > 0) {
            impl_->last_holders.insert_or_assign(what, std::string(endpoint));
        }
        return;
    }
    found->second.adapters[what] = {state, version};
}

void dispatcher::require_version(const model_name& what, std::uint64_t version) {
    impl_->changed = true;
    auto& required = impl_->required[what];
    required = std::max(required, version);
}

void dispatcher::set_peer_load(std::string_view peer, std::string_view endpoint,
                               endpoint_load load) {
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return;
    }
    auto& peers = found->second.peers;
    if (load.calls == 0) {
        if (const auto known = peers.find(peer); known != peers.end()) {
            peers.erase(known);
        }
        return;
    }
    peers.insert_or_assign(std::string(peer), load);
}

void dispatcher::forget_peer(std::string_view peer) {
    impl_->changed = true;
    for (auto& [id, item] : impl_->endpoints) {
        if (const auto known = item.peers.find(peer); known != item.peers.end()) {
            item.peers.erase(known);
        }
    }
}

void dispatcher::set_loads_possible(bool possible) {
    impl_->changed = impl_->changed || impl_->loads_possible != possible;
    impl_->loads_possible = possible;
}

void dispatcher::submit(pending_call call) {
    const auto number = call.number;
    open_call open;
    open.call = std::move(call);
    impl_->calls.insert_or_assign(number, std::move(open));
    impl_->queue.push_back(number);
    impl_->has_fresh = true;
}

void dispatcher::finish(std::uint64_t number, time_point now) {
    const auto found = impl_->calls.find(number);
    if (found == impl_->calls.end()) {
        return;
    }
    auto& open = found->second;
    const auto state = impl_->services.find(open.call.service);
    if (open.state == call_state::started && state != impl_->services.end() &&
        !state->second.has_engines) {
        const double took = to_ms(now - open.placed_at);
        state->second.work_ms += sample_weight * (std::min(took, 500.0) - state->second.work_ms);
    }
    impl_->release(open);
    impl_->calls.erase(found);
}

void dispatcher::retry(std::uint64_t number) {
    const auto found = impl_->calls.find(number);
    if (found == impl_->calls.end() || found->second.state == call_state::waiting) {
        return;
    }
    auto& open = found->second;
    impl_->release(open);
    open.call.excluded.push_back(open.endpoint);
    open.state = call_state::waiting;
    open.fresh = true;
    impl_->queue.push_back(number);
    impl_->has_fresh = true;
}

void dispatcher::on_started(std::uint64_t number, time_point now) {
    const auto found = impl_->calls.find(number);
    if (found == impl_->calls.end() || found->second.state != call_state::placed) {
        return;
    }
    auto& open = found->second;
    open.state = call_state::started;
    if (const auto place = impl_->endpoints.find(open.endpoint); place != impl_->endpoints.end()) {
        auto& own = place->second.own;
        own.unread_tokens -= std::min(own.unread_tokens, open.unread_tokens);
        impl_->health.on_sample(open.endpoint, to_ms(now - open.placed_at) / open.expected_ms, now);
    }
}

void dispatcher::on_failed(std::string_view endpoint, time_point now) {
    impl_->health.on_failure(endpoint, now);
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
    if (!has_endpoint(open.call.service)) {
        auto decision = refuse(open, state, ahead, open.missing);
        decision.reason = refusal::no_endpoints;
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
                              open.call.give_up_at;
    if (!too_long && now < open.call.give_up_at) {
        return std::nullopt;
    }
    auto decision = refuse(open, state, ahead, open.missing);
    if (too_long) {
        decision.reason = refusal::overloaded;
    }
    return decision;
}

std::vector<dispatch_decision> dispatcher::pump(time_point now) {
    std::vector<dispatch_decision> decisions;
    const auto due = next_deadline();
    // Calls that wait for an adapter need no new look unless something has changed.
    const bool all = impl_->changed || impl_->waiting_for_place > 0 || (due && now >= *due);
    if (!all && !impl_->has_fresh) {
        return decisions;
    }
    impl_->changed = false;
    impl_->has_fresh = false;
    impl_->waiting_for_place = 0;
    std::ranges::stable_sort(impl_->queue, {}, [this](std::uint64_t number) {
        const auto& call = impl_->calls.at(number).call;
        return call.objective_at + priority_step * call.priority;
    });
    std::vector<std::uint64_t> still_waiting;
    std::map<std::string_view, std::size_t> ahead;
    for (const auto number : impl_->queue) {
        auto& open = impl_->calls.at(number);
        const bool fresh = std::exchange(open.fresh, false);
        if (all || fresh) {
            if (auto decision = impl_->decide(open, ahead[open.call.service], now)) {
                decisions.push_back(std::move(*decision));
                continue;
            }
            impl_->new_demand = impl_->new_demand || (fresh && open.missing);
        }
        still_waiting.push_back(number);
        if (!open.missing) {
            ++ahead[open.call.service];
            ++impl_->waiting_for_place;
        }
    }
    impl_->queue = std::move(still_waiting);
    return decisions;
}

std::optional<time_point> dispatcher::next_deadline() const {
    std::optional<time_point> earliest;
    for (const auto number : impl_->queue) {
        const auto at = impl_->calls.at(number).call.give_up_at;
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

bool dispatcher::take_new_demand() {
    return std::exchange(impl_->new_demand, false);
}

std::vector<adapter_demand> dispatcher::take_demand() {
    std::map<model_name, adapter_demand> demand;
    for (const auto number : impl_->queue) {
        const auto& open = impl_->calls.at(number);
        if (!open.call.model.model.empty() && impl_->adapter_missing(open)) {
            auto& item = demand[open.call.model];
            if (item.waiting == 0) {
                item.what = open.call.model;
                item.data_centre = impl_->loading_place(open.call.model);
            }
            ++item.waiting;
        }
    }
    const auto entry = [&](const model_name& what) -> adapter_demand& {
        auto& item = demand[what];
        if (item.what.model.empty()) {
            item.what = what;
            item.data_centre = impl_->places.own();
        }
        return item;
    };
    for (const auto& [what, count] : std::exchange(impl_->diverted, {})) {
        entry(what).diverted = count;
    }
    for (const auto& [what, count] : std::exchange(impl_->crowded, {})) {
        entry(what).crowded = count;
    }
    std::vector<adapter_demand> out;
    out.reserve(demand.size());
    for (auto& [what, item] : demand) {
        out.push_back(std::move(item));
    }
    return out;
}

std::map<std::string, std::set<model_name>> dispatcher::take_used() {
    auto used = std::exchange(impl_->used, {});
    for (const auto& [number, open] : impl_->calls) {
        const auto place = impl_->endpoints.find(open.endpoint);
        if (open.state != call_state::waiting && !open.call.model.adapter.empty() &&
            place != impl_->endpoints.end()) {
            used[place->second.record.data_centre].insert(open.call.model);
        }
    }
    return used;
}

std::map<std::string, endpoint_load> dispatcher::own_loads() const {
    std::map<std::string, endpoint_load> out;
    for (const auto& [id, item] : impl_->endpoints) {
        if (item.own.calls > 0) {
            out.emplace(id, item.own);
        }
    }
    return out;
}

const endpoint_record* dispatcher::find(std::string_view endpoint) const {
    const auto found = impl_->endpoints.find(endpoint);
    return found == impl_->endpoints.end() ? nullptr : &found->second.record;
}

bool dispatcher::serves(std::string_view service) const {
    return impl_->has_endpoint(service);
}

std::size_t dispatcher::waiting() const {
    return impl_->queue.size();
}

} // namespace dragonflystair::fleet
