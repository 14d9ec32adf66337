#include "dispatcher_impl.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

namespace {

/// Weight of a new sample in a running mean; about the last ten samples count.
constexpr double sample_weight = 0.1;

/// Endpoints with a lower weight are slow or fail, so that they tell nothing of the others' speed.
constexpr double least_weight_to_learn = 0.5;

/// Calls that wait for a place are looked at this often even if no place was freed, since what
/// peers told of is read meanwhile and suspended endpoints come back.
constexpr milliseconds longest_unlooked{20};

/// Part of its objective after which a waiting call goes to another data centre that has its
/// adapter.
constexpr double pass_share = 0.15;

/// Less urgent calls wait as if they had come this much later per step of priority. It is a fifth
/// of a usual objective, so that they are delayed and not starved.
constexpr milliseconds priority_step{150};

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
    case refusal::paused:
        return "endpoints_paused";
    case refusal::elsewhere:
        return "elsewhere";
    }
    return "no_capacity";
}

dispatcher::dispatcher(topology places) : impl_(std::make_unique<impl>(std::move(places))) {}

dispatcher::~dispatcher() = default;

void dispatcher::configure(const configuration& current) {
    impl_->changed = true;
    for (const auto& [name, item] : current.services) {
        auto& state = impl_->services[name];
        state.has_engines = item.has_engines;
        state.batch_slots = item.engines.batch_slots;
        state.longest_pause_ms = 0;
    }
    for (const auto& item : current.routes) {
        const double pause_ms = to_ms(item.max_event_gap);
        for (const auto& target : item.services) {
            auto& state = impl_->services[target.service];
            if (pause_ms > 0 &&
                (state.longest_pause_ms == 0 || pause_ms < state.longest_pause_ms)) {
                state.longest_pause_ms = pause_ms;
            }
        }
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
        item.paused_until.reset();
    }
    const bool older = !restarted && record.orders_accepted < item.record.orders_accepted;
    item.leaving = record.draining;
    item.record = record;
    impl_->member_index.clear();
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
    impl_->member_index.clear();
    if (found->second.own.calls == 0) {
        impl_->endpoints.erase(found);
    }
}

void dispatcher::suspend(std::string_view endpoint, time_point until) {
    if (const auto found = impl_->endpoints.find(endpoint); found != impl_->endpoints.end()) {
        found->second.suspended_until = std::max(found->second.suspended_until, until);
    }
}

void dispatcher::pause(std::string_view endpoint, time_point until) {
    impl_->changed = true;
    if (const auto found = impl_->endpoints.find(endpoint); found != impl_->endpoints.end()) {
        found->second.paused_until = until;
    }
}

time_point dispatcher::paused_until(std::string_view endpoint) const {
    const auto found = impl_->endpoints.find(endpoint);
    return found == impl_->endpoints.end() ? time_point{}
                                           : found->second.paused_until.value_or(time_point{});
}

void dispatcher::set_draining(std::string_view endpoint) {
    if (const auto found = impl_->endpoints.find(endpoint); found != impl_->endpoints.end()) {
        impl_->changed = true;
        impl_->member_index.clear();
        found->second.leaving = true;
        found->second.record.draining = true;
    }
}

void dispatcher::set_residency(std::string_view endpoint, const model_name& model, residency state,
                               std::uint64_t version) {
    // An adapter that is no longer on its way ends the wait of calls whose time is over.
    impl_->changed = impl_->changed || state != residency::loading;
    const auto found = impl_->endpoints.find(endpoint);
    if (found == impl_->endpoints.end()) {
        return;
    }
    if (model.adapter.empty()) {
        if (state == residency::ready) {
            found->second.models.insert(model.model);
        } else {
            found->second.models.erase(model.model);
        }
        return;
    }
    if (state == residency::absent) {
        if (found->second.adapters.erase(model) > 0) {
            impl_->last_holders.insert_or_assign(model, std::string(endpoint));
        }
        return;
    }
    found->second.adapters[model] = {state, version};
}

void dispatcher::require_version(const model_name& model, std::uint64_t version) {
    impl_->changed = true;
    auto& required = impl_->required[model];
    required = std::max(required, version);
}

void dispatcher::set_peer_load(std::string_view peer, std::string_view endpoint, endpoint_load load,
                               time_point now) {
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
    peers.insert_or_assign(std::string(peer), told_load{load, now});
    impl_->changed = true;
}

void dispatcher::remove_peer(std::string_view peer) {
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
    if (open.call.may_divert) {
        const auto wait = (open.call.objective_deadline - open.call.arrived) * pass_share;
        open.passes_at = std::min(open.call.arrived + std::chrono::duration_cast<duration>(wait),
                                  open.call.queue_deadline);
    }
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
    // Only the endpoint that it was sent to is known to fail, so any data centre will do.
    open.call.data_centre.clear();
    open.passes_at.reset();
    open.awaits_load = false;
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
        own.pending_prefill_tokens -=
            std::min(own.pending_prefill_tokens, open.pending_prefill_tokens);
        impl_->changed = true;
        const double took_ms = to_ms(now - open.placed_at);
        impl_->health.on_sample(open.endpoint, took_ms / open.expected_ms, now);
        auto& service = impl_->services[open.call.service];
        if (service.has_engines &&
            impl_->health.weight(open.endpoint, now) >= least_weight_to_learn) {
            const double travel_ms = impl_->distance_ms(place->second);
            service.speed.on_first_event(open.pending_prefill_tokens, open.tokens_ahead,
                                         std::max(took_ms - travel_ms, 0.0));
        }
    }
}

void dispatcher::on_failed(std::string_view endpoint, time_point now) {
    impl_->health.on_failure(endpoint, now);
}

std::vector<dispatch_decision> dispatcher::pump(time_point now) {
    std::vector<dispatch_decision> decisions;
    const auto due = next_deadline();
    // Calls that wait for an adapter need no new look unless something has changed.
    const bool stale = impl_->waiting_for_place > 0 && now - impl_->looked_at >= longest_unlooked;
    const bool all = impl_->changed || stale || (due && now >= *due);
    if (!all && !impl_->has_fresh) {
        return decisions;
    }
    if (all) {
        impl_->looked_at = now;
    }
    impl_->changed = false;
    impl_->has_fresh = false;
    impl_->waiting_for_place = 0;
    std::ranges::stable_sort(impl_->queue, {}, [this](std::uint64_t number) {
        const auto& call = impl_->calls.at(number).call;
        return call.objective_deadline + priority_step * call.priority;
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
        const auto& open = impl_->calls.at(number);
        const auto ends_at = open.awaits_load ? open.call.load_deadline : open.call.queue_deadline;
        const auto at = open.passes_at ? *open.passes_at : ends_at;
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
                item.model = open.call.model;
                item.data_centre = open.call.data_centre.empty()
                                       ? impl_->loading_place(open.call.model)
                                       : open.call.data_centre;
            }
            ++item.waiting;
        }
    }
    const auto entry = [&](const model_name& model) -> adapter_demand& {
        auto& item = demand[model];
        if (item.model.model.empty()) {
            item.model = model;
            item.data_centre = impl_->places.own();
        }
        return item;
    };
    for (const auto& [model, count] : std::exchange(impl_->diverted, {})) {
        entry(model).diverted = count;
    }
    for (const auto& [model, count] : std::exchange(impl_->crowded, {})) {
        entry(model).crowded = count;
    }
    for (const auto& [model, after] : std::exchange(impl_->returning, {})) {
        auto& item = entry(model);
        item.retry_after = after;
        if (item.waiting == 0) {
            item.data_centre = impl_->loading_place(model);
        }
    }
    std::vector<adapter_demand> out;
    out.reserve(demand.size());
    for (auto& [model, item] : demand) {
        out.push_back(std::move(item));
    }
    return out;
}

std::map<std::string, std::map<model_name, std::size_t>> dispatcher::take_used() {
    auto used = std::exchange(impl_->used, {});
    for (const auto& [number, open] : impl_->calls) {
        const auto place = impl_->endpoints.find(open.endpoint);
        if (open.state != call_state::waiting && !open.call.model.adapter.empty() &&
            place != impl_->endpoints.end()) {
            used[place->second.record.data_centre].try_emplace(open.call.model, 0);
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
    return !impl_->members(service).empty();
}

bool dispatcher::has_engines(std::string_view service) const {
    const auto found = impl_->services.find(service);
    return found != impl_->services.end() && found->second.has_engines;
}

void dispatcher::note_diverted(const model_name& model) {
    if (!model.adapter.empty()) {
        ++impl_->diverted[model];
    }
}

std::size_t dispatcher::waiting() const {
    return impl_->queue.size();
}

} // namespace dragonflystair::fleet
