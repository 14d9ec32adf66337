#include "dispatcher_impl.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;

namespace {

/// Weight of a new sample in a running mean, which spans about the last ten samples.
constexpr double sample_weight = 0.1;

/// Endpoints with a lower health weight are slow or failing, so their samples do not represent the
/// speed of the others.
constexpr double min_weight_to_learn = 0.5;

/// Calls that wait for a slot are evaluated this often even if no slot was freed, since the prefill
/// of prompts that peers reported proceeds and suspensions end without an event.
constexpr milliseconds max_evaluation_interval{20};

/// With more calls than these waiting for slots, freed slots are filled at this interval. A lead
/// that evaluated all of them for each freed slot used up its processor when load was at its worst,
/// and then orders to engines were late as well.
constexpr std::size_t few_calls = 16;
constexpr milliseconds min_evaluation_interval{5};

/// Share of its objective after which a waiting call is diverted to another data centre that has
/// its adapter.
constexpr double divert_after_share = 0.15;

/// Returns when a waiting call has to be evaluated even if nothing has changed.
time_point due_at(const open_call& open) {
    if (open.diverts_at) {
        return *open.diverts_at;
    }
    return open.awaits_load ? open.call.load_deadline : open.call.queue_deadline;
}

bool is_due(const open_call& open, time_point now) {
    return now >= due_at(open);
}

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
    case refusal::limited:
        return "endpoints_limited";
    case refusal::elsewhere:
        return "elsewhere";
    case refusal::too_large:
        return "too_large";
    }
    return "no_capacity";
}

dispatcher::dispatcher(topology layout) : impl_(std::make_unique<impl>(std::move(layout))) {}

dispatcher::~dispatcher() = default;

void dispatcher::use_permits(send_permits& permits) {
    impl_->permits = &permits;
}

void dispatcher::on_permits_changed() {
    impl_->changed = true;
}

std::map<std::string, std::size_t, std::less<>> dispatcher::permit_demand() const {
    return impl_->queue.empty() ? std::map<std::string, std::size_t, std::less<>>{}
                                : impl_->permit_demand;
}

void dispatcher::configure(const configuration& current) {
    impl_->changed = true;
    impl_->queue.configure(current.tenants);
    for (const auto& [name, definition] : current.services) {
        auto& state = impl_->services[name];
        state.has_engines = definition.has_engines;
        state.batch_slots = definition.engines.batch_slots;
        state.cache_tokens = definition.has_engines ? definition.engines.cache_tokens : 0;
        state.max_event_gap_ms = 0;
    }
    for (const auto& route : current.routes) {
        const double gap_ms = to_ms(route.max_event_gap);
        for (const auto& weighted : route.services) {
            auto& state = impl_->services[weighted.service];
            if (gap_ms > 0 && (state.max_event_gap_ms == 0 || gap_ms < state.max_event_gap_ms)) {
                state.max_event_gap_ms = gap_ms;
            }
        }
    }
}

void dispatcher::submit(pending_call call) {
    const auto number = call.number;
    open_call open;
    open.call = std::move(call);
    if (open.call.may_divert) {
        const auto wait = (open.call.objective_deadline - open.call.arrived) * divert_after_share;
        open.diverts_at = std::min(open.call.arrived + std::chrono::duration_cast<duration>(wait),
                                   open.call.queue_deadline);
    }
    impl_->queue.add(open.call);
    impl_->calls.insert_or_assign(number, std::move(open));
    impl_->has_new_calls = true;
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
        state->second.plain_call_ms +=
            sample_weight * (std::min(took, 500.0) - state->second.plain_call_ms);
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
    // Only the endpoint of the failed attempt is known to be faulty, so any data centre is
    // eligible.
    open.call.data_centre.clear();
    open.diverts_at.reset();
    open.awaits_load = false;
    open.state = call_state::waiting;
    open.is_new = true;
    impl_->queue.add(open.call);
    impl_->has_new_calls = true;
}

void dispatcher::on_started(std::uint64_t number, time_point now) {
    const auto found = impl_->calls.find(number);
    if (found == impl_->calls.end() || found->second.state != call_state::placed) {
        return;
    }
    auto& open = found->second;
    open.state = call_state::started;
    if (const auto target = impl_->endpoints.find(open.endpoint);
        target != impl_->endpoints.end()) {
        auto& own = target->second.own;
        own.pending_prefill_tokens -=
            std::min(own.pending_prefill_tokens, open.pending_prefill_tokens);
        impl_->loads_changed = true;
        if (open.endpoint_run != target->second.record.started_ms) {
            return; // The time that it took includes the restart.
        }
        const double took_ms = to_ms(now - open.placed_at);
        impl_->health.on_sample(open.endpoint, took_ms / open.expected_ms, now);
        impl_->learn_speed(open, target->second, took_ms, now);
        auto& service = impl_->services[open.call.service];
        if (service.has_engines &&
            impl_->health.weight(open.endpoint, now) >= min_weight_to_learn) {
            const double travel_ms = impl_->distance_ms(target->second);
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
    const auto since = now - impl_->evaluated_at;
    const bool slots_may_be_free =
        (impl_->loads_changed &&
         (impl_->waiting_for_slot <= few_calls || since >= min_evaluation_interval)) ||
        (impl_->waiting_for_slot > 0 && since >= max_evaluation_interval);
    // The demand for permits is counted anew from all calls.
    const bool all = impl_->changed || (slots_may_be_free && !impl_->permit_demand.empty());
    const auto models = std::exchange(impl_->changed_models, {});
    if (!all && !slots_may_be_free && !impl_->has_new_calls && models.empty() &&
        (!due || now < *due)) {
        return decisions;
    }
    impl_->pumped_at = now;
    if (all) {
        impl_->permit_demand.clear();
    }
    if (all || slots_may_be_free) {
        impl_->evaluated_at = now;
        impl_->loads_changed = false;
    }
    impl_->changed = false;
    impl_->has_new_calls = false;
    impl_->waiting_for_slot = 0;
    std::map<std::string_view, std::size_t> ahead;
    for (const auto& waiting : impl_->queue.order(now)) {
        auto& open = impl_->calls.at(waiting.number());
        const bool is_new = std::exchange(open.is_new, false);
        if (all || is_new || (slots_may_be_free && !open.adapter_missing) || is_due(open, now) ||
            models.contains(open.call.model)) {
            const queue_position position{ahead[open.call.service],
                                          to_ms(waiting.expected_wait()) / 1'000};
            if (auto decision = impl_->decide(open, position, now)) {
                decisions.push_back(std::move(*decision));
                continue;
            }
            impl_->new_demand = impl_->new_demand || (is_new && open.adapter_missing);
        }
        if (!open.adapter_missing) {
            ++ahead[open.call.service];
            ++impl_->waiting_for_slot;
        }
    }
    for (const auto& [service, calls] : ahead) {
        if (calls > 0) {
            impl_->queue.on_no_slot(service);
        }
    }
    for (const auto& decision : decisions) {
        if (decision.endpoint.empty()) {
            impl_->queue.erase(decision.number);
        } else {
            impl_->queue.start(decision.number);
        }
    }
    return decisions;
}

std::optional<time_point> dispatcher::next_deadline() const {
    std::optional<time_point> earliest;
    if (impl_->loads_changed && impl_->waiting_for_slot > 0) {
        earliest = impl_->evaluated_at + min_evaluation_interval;
    }
    for (const auto& waiting : impl_->queue.calls()) {
        const auto at = due_at(impl_->calls.at(waiting.number()));
        earliest = earliest ? std::min(*earliest, at) : at;
    }
    return earliest;
}

bool dispatcher::take_new_demand() {
    return std::exchange(impl_->new_demand, false);
}

std::vector<adapter_demand> dispatcher::take_demand() {
    std::map<model_name, adapter_demand> demand;
    for (const auto& waiting : impl_->queue.calls()) {
        const auto& open = impl_->calls.at(waiting.number());
        if (!open.call.model.model.empty() && open.adapter_missing) {
            auto& wanted = demand[open.call.model];
            if (wanted.waiting == 0) {
                wanted.model = open.call.model;
                wanted.data_centre = open.call.data_centre.empty()
                                         ? impl_->load_data_centre(open.call.model)
                                         : open.call.data_centre;
            }
            ++wanted.waiting;
        }
    }
    const auto entry = [&](const model_name& model) -> adapter_demand& {
        auto& wanted = demand[model];
        if (wanted.model.model.empty()) {
            wanted.model = model;
            wanted.data_centre = impl_->layout.own();
        }
        return wanted;
    };
    for (const auto& [model, count] : std::exchange(impl_->diverted, {})) {
        entry(model).diverted = count;
    }
    for (const auto& [model, count] : std::exchange(impl_->crowded, {})) {
        entry(model).crowded = count;
    }
    for (const auto& [model, after] : std::exchange(impl_->refused_retry_after, {})) {
        auto& wanted = entry(model);
        wanted.retry_after = after;
        if (wanted.waiting == 0) {
            wanted.data_centre = impl_->load_data_centre(model);
        }
    }
    std::vector<adapter_demand> result;
    result.reserve(demand.size());
    for (auto& [model, wanted] : demand) {
        result.push_back(std::move(wanted));
    }
    return result;
}

std::map<std::string, std::map<model_name, std::size_t>> dispatcher::take_used() {
    auto used = std::exchange(impl_->used, {});
    for (const auto& [number, open] : impl_->calls) {
        const auto target = impl_->endpoints.find(open.endpoint);
        if (open.state != call_state::waiting && !open.call.model.adapter.empty() &&
            target != impl_->endpoints.end()) {
            used[target->second.record.data_centre].try_emplace(open.call.model, 0);
        }
    }
    return used;
}

std::map<std::string, endpoint_load> dispatcher::own_loads() const {
    std::map<std::string, endpoint_load> result;
    for (const auto& [id, target] : impl_->endpoints) {
        if (target.own.calls > 0) {
            result.emplace(id, target.own);
        }
    }
    return result;
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
