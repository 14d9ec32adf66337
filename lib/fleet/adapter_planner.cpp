#include "dragonflystair/fleet/adapter_planner.h"

#include "dragonflystair/policy/popularity.h"
#include "dragonflystair/support/hash.h"

#include <algorithm>
#include <map>
#include <span>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::time_point;

namespace {

/// Adapters on their way to one engine at once, as many as engines take. The store slows down in
/// proportion beyond about two for each engine, which leaves the rate of loads as it is.
constexpr std::size_t max_in_transit = 4;

/// Time that an adapter load takes; the deployments state 250 and 288 ms.
constexpr milliseconds adapter_load_time{250};
/// A look at this part of the usual time finds a load that was quicker.
constexpr double first_check_part = 0.96;
/// Weight of a new sample in the running mean of load times.
constexpr double sample_weight = 0.2;
/// The same for an adapter that the engine had recently, a tenth.
constexpr milliseconds recent_load_time{25};
/// Pause between two looks whether an order has been carried out.
constexpr milliseconds check_period{20};
/// A replacement or an unload waits for the calls that use the adapter.
constexpr milliseconds patient_check_period{60};
constexpr milliseconds model_check_period{100};

/// An adapter that was reported in use less long ago may still have a call running; nodes report
/// five times a second.
constexpr milliseconds least_idle{500};

/// Demand that was not repeated for this long has ended; nodes repeat it every 50 ms.
constexpr milliseconds demand_lifetime{160};
/// Calls that have waited longer give up before their adapter is there: the shortest objective of
/// the deployments, 500 ms, less the time of a load.
constexpr milliseconds hopeful_wait{250};
/// Calls sent to another data centre that pay for a copy here, within the time below.
constexpr double diverted_worth_copy = 4;
constexpr milliseconds diverted_window{3'000};
/// The same for calls sent to a busy engine of this data centre.
constexpr double crowded_worth_copy = 6;

/// An adapter used within this time gets its new version at once; others are dropped.
constexpr milliseconds busy_window{5'000};

/// Pause after an order or report that failed.
constexpr milliseconds failure_pause{200};

/// An unload that waits for its calls lets the engine refuse other orders for a moment; only a
/// conflict that lasts longer than this many tries means that the counts differ.
constexpr std::size_t max_conflicts = 8;
constexpr milliseconds conflict_pause{40};
/// Reports are some hundred milliseconds old, so orders pause this long before one is asked for.
constexpr milliseconds report_age{350};

enum class slot_state { ordered, loading, ready, unloading };

struct slot {
    slot_state state = slot_state::loading;
    std::uint64_t version = 0;
    time_point last_used;
    time_point check_at;
    time_point ordered_at;
    bool replaces = false; ///< It waits for calls on the former version.
};

slot make_slot(slot_state state, std::uint64_t version, time_point used, time_point check = {}) {
    slot made;
    made.state = state;
    made.version = version;
    made.last_used = used;
    made.check_at = check;
    return made;
}

struct engine {
    endpoint_record record;
    std::uint64_t orders_accepted = 0;
    bool order_under_way = false;
    bool needs_report = false;
    std::size_t conflicts = 0; ///< In a row.
    time_point paused_until;
    std::map<std::string, slot> models;
    std::map<model_name, slot> adapters;
    std::map<model_name, time_point> recent; ///< Adapters that it held before, by last use.
};

struct wanted {
    std::size_t waiting = 0;
    double diverted = 0;
    double crowded = 0;
    time_point asked;
    time_point waiting_since;
    time_point first_diverted;
};

std::string key_of(const model_name& what) {
    return what.model + "/" + what.adapter;
}

residency to_residency(slot_state state) {
    switch (state) {
    case slot_state::ready:
        return residency::ready;
    case slot_state::ordered:
    case slot_state::loading:
        return residency::loading;
    case slot_state::unloading:
        return residency::absent;
    }
    return residency::absent;
}

} // namespace

struct adapter_planner::impl {
    [[nodiscard]] const engine_class* class_of(const engine& item) const;
    [[nodiscard]] std::uint64_t required_version(const model_name& what) const {
        const auto found = required.find(what);
        return found == required.end() ? 0 : found->second;
    }
    void hold(engine& item, const held_model& model, time_point now);
    void change(const engine& item, const model_name& what, residency state, std::uint64_t version);
    [[nodiscard]] planned_order order_for(const engine& item, planned_kind kind,
                                          const model_name& what, bool check) const;
    std::optional<planned_order> model_order(engine& item, time_point now);
    std::optional<planned_order> due_check(engine& item, time_point now);
    std::optional<planned_order> version_order(engine& item, time_point now);
    [[nodiscard]] bool takes_load(const engine& item, time_point now) const;
    std::optional<planned_order> demand_order(time_point now, const model_name& what,
                                              const wanted& demand,
                                              std::span<const std::string> names);
    std::optional<model_name> victim(const engine& item, double worth, time_point now) const;
    [[nodiscard]] bool fits(const engine& item, const model_name& what) const;
    [[nodiscard]] bool is_due(const model_name& what, const wanted& demand) const;
    [[nodiscard]] bool placed(const model_name& what) const;
    void begin(engine& item, const planned_order& order);
    void withdraw(engine& item, const planned_order& order);
    void on_accepted(engine& item, const planned_order& order, time_point now);
    void on_holds(engine& item, const planned_order& order, time_point now);
    void on_conflict(engine& item, const planned_order& order, time_point now);

    configuration current;
    std::map<std::string, engine, std::less<>> engines;
    std::map<model_name, wanted> demands;
    std::map<model_name, std::uint64_t> required;
    policy::popularity popular;
    support::duration load_time = adapter_load_time; ///< Running mean.
    std::vector<residency_change> changes;
};

const engine_class* adapter_planner::impl::class_of(const engine& item) const {
    const auto* service = current.find_service(item.record.service);
    return service == nullptr || !service->has_engines ? nullptr : &service->engines;
}

void adapter_planner::impl::change(const engine& item, const model_name& what, residency state,
                                   std::uint64_t version) {
    changes.push_back({item.record.id, what, state, version});
}

/// Takes over what an engine says that it holds.
void adapter_planner::impl::hold(engine& item, const held_model& model, time_point now) {
    item.models[model.name] = make_slot(slot_state::ready, model.version, now);
    change(item, {model.name, {}}, residency::ready, model.version);
    for (const auto& adapter : model.adapters) {
        const model_name what{model.name, adapter.name};
        const auto known = item.adapters.find(what);
        const auto used = known == item.adapters.end() ? time_point{} : known->second.last_used;
        item.adapters[what] = make_slot(slot_state::ready, adapter.version, used);
        change(item, what, residency::ready, adapter.version);
    }
}

planned_order adapter_planner::impl::order_for(const engine& item, planned_kind kind,
                                               const model_name& what, bool check) const {
    planned_order order;
    order.endpoint = item.record.id;
    order.address = item.record.address;
    order.kind = kind;
    order.what = what;
    order.orders_accepted = item.orders_accepted;
    order.check = check;
    if (const auto version = required_version(what);
        kind == planned_kind::load && version > 0 && !what.adapter.empty()) {
        order.version = version;
    }
    return order;
}

/// Loads a base model on an engine that holds none, such as after a restart.
std::optional<planned_order> adapter_planner::impl::model_order(engine& item, time_point now) {
    for (auto& [name, held] : item.models) {
        if (held.state == slot_state::loading) {
            if (held.check_at > now) {
                return std::nullopt;
            }
            held.check_at = now + model_check_period;
            return order_for(item, planned_kind::load, {name, {}}, true);
        }
    }
    const auto* engines_class = class_of(item);
    if (!item.models.empty() || engines_class == nullptr || engines_class->models.empty()) {
        return std::nullopt;
    }
    // One model at a time in a data centre, since the store slows down with parallel loads.
    const bool other_loading = std::ranges::any_of(engines, [](const auto& other) {
        return std::ranges::any_of(other.second.models, [](const auto& held) {
            return held.second.state == slot_state::loading;
        });
    });
    if (other_loading) {
        return std::nullopt;
    }
    const auto& model = engines_class->models.front();
    if (model.weights_mb > engines_class->weights_mb) {
        return std::nullopt;
    }
    return order_for(item, planned_kind::load, {model.name, {}}, false);
}

/// Repeats an accepted order whose time has come, to learn whether it was carried out.
std::optional<planned_order> adapter_planner::impl::due_check(engine& item, time_point now) {
    for (auto& [what, held] : item.adapters) {
        const bool settled = held.state == slot_state::ready || held.state == slot_state::ordered;
        if (settled || held.check_at > now) {
            continue;
        }
        const bool waits = held.replaces || held.state == slot_state::unloading;
        held.check_at = now + (waits ? patient_check_period : check_period);
        return order_for(
            item, held.state == slot_state::loading ? planned_kind::load : planned_kind::unload,
            what, true);
    }
    return std::nullopt;
}

/// Replaces an adapter of an old version if it is in use, and drops it otherwise.
std::optional<planned_order> adapter_planner::impl::version_order(engine& item, time_point now) {
    for (const auto& [what, held] : item.adapters) {
        if (held.state != slot_state::ready || held.version >= required_version(what)) {
            continue;
        }
        const bool busy = now - held.last_used < busy_window || demands.contains(what);
        return order_for(item, busy ? planned_kind::load : planned_kind::unload, what, false);
    }
    return std::nullopt;
}

bool adapter_planner::impl::fits(const engine& item, const model_name& what) const {
    const auto* engines_class = class_of(item);
    const auto* model = engines_class == nullptr ? nullptr : engines_class->find(what.model);
    if (model == nullptr || item.adapters.size() >= engines_class->adapter_slots) {
        return false;
    }
    double used_mb = model->adapter_mb;
    for (const auto& [name, held] : item.models) {
        const auto* other = engines_class->find(name);
        used_mb += other == nullptr ? 0 : other->weights_mb;
    }
    for (const auto& [name, held] : item.adapters) {
        const auto* other = engines_class->find(name.model);
        used_mb += other == nullptr ? 0 : other->adapter_mb;
    }
    return used_mb <= engines_class->weights_mb;
}

/// The least popular adapter that nothing has used for a while and that is less popular than the
/// one to load.
std::optional<model_name> adapter_planner::impl::victim(const engine& item, double worth,
                                                        time_point now) const {
    std::optional<model_name> best;
    double least = 0;
    for (const auto& [what, held] : item.adapters) {
        if (held.state != slot_state::ready || now - held.last_used < least_idle) {
            continue;
        }
        const double rate = popular.rate(key_of(what), now);
        if (rate <= worth && (!best || rate < least)) {
            best = what;
            least = rate;
        }
    }
    return best;
}

bool adapter_planner::impl::is_due(const model_name& what, const wanted& demand) const {
    if (demand.crowded >= crowded_worth_copy) {
        return true;
    }
    return (demand.waiting > 0 || demand.diverted >= diverted_worth_copy) && !placed(what);
}

/// Whether some engine holds the adapter in the version needed or is loading it.
bool adapter_planner::impl::placed(const model_name& what) const {
    return std::ranges::any_of(engines, [&](const auto& item) {
        const auto held = item.second.adapters.find(what);
        return held != item.second.adapters.end() && held->second.state != slot_state::unloading &&
               !item.second.record.draining;
    });
}

/// Whether the engine can be given an order to load an adapter now.
bool adapter_planner::impl::takes_load(const engine& item, time_point now) const {
    if (item.order_under_way || item.record.draining || item.paused_until > now ||
        item.models.empty() || class_of(item) == nullptr) {
        return false;
    }
    const auto in_transit = std::ranges::count_if(item.adapters, [](const auto& held) {
        return held.second.state == slot_state::loading || held.second.state == slot_state::ordered;
    });
    return static_cast<std::size_t>(in_transit) < max_in_transit;
}

/// Loads a wanted adapter on the engine that it belongs to, or makes room there.
std::optional<planned_order>
adapter_planner::impl::demand_order(time_point now, const model_name& what, const wanted& demand,
                                    std::span<const std::string> names) {
    if (!is_due(what, demand)) {
        return std::nullopt;
    }
    // Waiting calls drive out anything idle; a copy for convenience only what is less popular.
    constexpr double any_rate = 1e9;
    const double worth = demand.waiting > 0 ? any_rate : popular.rate(key_of(what), now);
    auto order = support::rendezvous_order(key_of(what), names);
    std::ranges::stable_partition(
        order, [&](const auto& id) { return engines.at(id).recent.contains(what); });
    for (const auto& id : order) {
        auto& item = engines.at(id);
        const auto model = item.models.find(what.model);
        if (!takes_load(item, now) || item.adapters.contains(what) || model == item.models.end() ||
            model->second.state != slot_state::ready) {
            continue;
        }
        if (fits(item, what)) {
            return order_for(item, planned_kind::load, what, false);
        }
        if (const auto out = victim(item, worth, now)) {
            return order_for(item, planned_kind::unload, *out, false);
        }
    }
    return std::nullopt;
}

void adapter_planner::impl::begin(engine& item, const planned_order& order) {
    item.order_under_way = true;
    if (order.check || order.what.adapter.empty()) {
        return;
    }
    // Nodes stop sending before the engine starts to unload or to replace.
    const auto held = item.adapters.find(order.what);
    if (held != item.adapters.end()) {
        change(item, order.what, residency::absent, held->second.version);
    } else if (order.kind == planned_kind::load) {
        // Takes the place now, so that no other engine is chosen meanwhile.
        item.adapters[order.what] = make_slot(slot_state::ordered, 0, {});
    }
}

/// Takes back what was done for an order that was not carried out.
void adapter_planner::impl::withdraw(engine& item, const planned_order& order) {
    const auto held = item.adapters.find(order.what);
    if (held == item.adapters.end()) {
        return;
    }
    if (held->second.state == slot_state::ordered) {
        item.adapters.erase(held);
    } else if (held->second.state == slot_state::ready) {
        change(item, order.what, residency::ready, held->second.version);
    }
}

adapter_planner::adapter_planner() : impl_(std::make_unique<impl>()) {}

adapter_planner::~adapter_planner() = default;

void adapter_planner::configure(const configuration& current) {
    impl_->current = current;
}

void adapter_planner::update(const endpoint_record& record) {
    auto& item = impl_->engines[record.id];
    const bool restarted =
        item.record.started_ms != record.started_ms || item.record.address != record.address;
    item.record = record;
    if (!restarted) {
        return;
    }
    item.models.clear();
    item.adapters.clear();
    item.orders_accepted = record.orders_accepted;
    item.order_under_way = false;
    // A record may be a heartbeat old, so what it lists is confirmed before the first order.
    item.needs_report = record.orders_accepted > 0;
    for (const auto& model : record.models) {
        impl_->hold(item, model, {});
    }
}

void adapter_planner::remove(std::string_view endpoint) {
    if (const auto found = impl_->engines.find(endpoint); found != impl_->engines.end()) {
        impl_->engines.erase(found);
    }
}

void adapter_planner::on_demand(const adapter_demand& demand, time_point now) {
    auto& item = impl_->demands[demand.what];
    if (demand.waiting > item.waiting || demand.diverted > 0 || demand.crowded > 0) {
        impl_->popular.on_request(key_of(demand.what), now);
    }
    if (now - item.first_diverted > diverted_window) {
        item.diverted = 0;
        item.crowded = 0;
        item.first_diverted = now;
    }
    if (item.waiting == 0) {
        item.waiting_since = now;
    }
    item.waiting = demand.waiting;
    item.diverted += static_cast<double>(demand.diverted);
    item.crowded += static_cast<double>(demand.crowded);
    item.asked = now;
}

void adapter_planner::on_used(const model_name& what, time_point now) {
    impl_->popular.on_request(key_of(what), now);
    for (auto& [id, item] : impl_->engines) {
        if (const auto held = item.adapters.find(what); held != item.adapters.end()) {
            held->second.last_used = now;
        }
    }
}

void adapter_planner::require_version(const model_name& what, std::uint64_t version) {
    auto& required = impl_->required[what];
    required = std::max(required, version);
}

std::vector<planned_order> adapter_planner::plan(time_point now) {
    std::vector<planned_order> orders;
    std::erase_if(impl_->demands, [&](const auto& item) {
        const auto lifetime =
            item.second.waiting > 0 ? demand_lifetime : milliseconds(diverted_window);
        return now - item.second.asked > lifetime;
    });
    for (auto& [id, item] : impl_->engines) {
        if (item.order_under_way || item.paused_until > now || item.record.draining) {
            continue;
        }
        std::optional<planned_order> order;
        if (item.needs_report) {
            order = impl_->order_for(item, planned_kind::report, {}, false);
        }
        order = order ? order : impl_->due_check(item, now);
        order = order ? order : impl_->version_order(item, now);
        order = order ? order : impl_->model_order(item, now);
        if (order) {
            impl_->begin(item, *order);
            orders.push_back(std::move(*order));
        }
    }
    std::vector<const std::pair<const model_name, wanted>*> by_age;
    for (const auto& item : impl_->demands) {
        by_age.push_back(&item);
    }
    // Oldest first, so that no adapter is passed over again and again, but those whose calls are
    // about to give up come last.
    std::ranges::stable_sort(by_age, {}, [now](const auto* item) {
        const auto since = item->second.waiting_since;
        return std::pair(now - since > hopeful_wait, since);
    });
    std::vector<std::string> names;
    for (const auto& [id, item] : impl_->engines) {
        if (impl_->takes_load(item, now)) {
            names.push_back(id);
        }
    }
    for (const auto* item : by_age) {
        if (names.empty()) {
            break;
        }
        if (auto order = impl_->demand_order(now, item->first, item->second, names)) {
            std::erase(names, order->endpoint);
            if (order->kind == planned_kind::load) {
                impl_->demands.at(item->first).crowded = 0;
            }
            impl_->begin(impl_->engines.at(order->endpoint), *order);
            orders.push_back(std::move(*order));
        }
    }
    return orders;
}

/// The engine carries the order out; `due_check` finds when it is done.
void adapter_planner::impl::on_accepted(engine& item, const planned_order& order, time_point now) {
    if (order.check) {
        return;
    }
    ++item.orders_accepted;
    if (order.what.adapter.empty()) {
        item.models[order.what.model] =
            make_slot(slot_state::loading, 0, now, now + model_check_period);
        return;
    }
    const bool loads = order.kind == planned_kind::load;
    auto& held = item.adapters[order.what];
    held.replaces = loads && held.state == slot_state::ready;
    held.state = loads ? slot_state::loading : slot_state::unloading;
    held.ordered_at = now;
    held.last_used = now;
    held.check_at = now + check_period;
    if (!loads) {
        return;
    }
    held.version = order.version.value_or(held.version);
    held.check_at =
        now + (item.recent.contains(order.what)
                   ? support::duration(recent_load_time)
                   : std::chrono::duration_cast<support::duration>(load_time * first_check_part));
    change(item, order.what, residency::loading, held.version);
}

/// What was ordered is so.
void adapter_planner::impl::on_holds(engine& item, const planned_order& order, time_point now) {
    if (order.what.adapter.empty()) {
        item.models[order.what.model] = make_slot(slot_state::ready, 0, now);
        change(item, order.what, residency::ready, 0);
        return;
    }
    if (order.kind == planned_kind::unload) {
        // An adapter that no call uses is unloaded at once, which counts as an order.
        item.orders_accepted += order.check ? 0 : 1;
        item.adapters.erase(order.what);
        item.recent[order.what] = now;
        return;
    }
    auto& held = item.adapters[order.what];
    if (order.check && !held.replaces && !item.recent.contains(order.what)) {
        const support::duration took = now - held.ordered_at;
        load_time +=
            std::chrono::duration_cast<support::duration>(sample_weight * (took - load_time));
    }
    held.replaces = false;
    held.state = slot_state::ready;
    held.version = order.version.value_or(held.version);
    held.last_used = now;
    change(item, order.what, residency::ready, held.version);
}

void adapter_planner::impl::on_conflict(engine& item, const planned_order& order, time_point now) {
    withdraw(item, order);
    item.paused_until = now + conflict_pause;
    if (++item.conflicts >= max_conflicts) {
        item.conflicts = 0;
        item.needs_report = true;
        item.paused_until = now + report_age;
    }
}

void adapter_planner::on_outcome(const planned_order& order, order_outcome outcome,
                                 time_point now) {
    const auto found = impl_->engines.find(order.endpoint);
    if (found == impl_->engines.end()) {
        return;
    }
    auto& item = found->second;
    item.order_under_way = false;
    if (outcome != order_outcome::conflict) {
        item.conflicts = 0;
    }
    switch (outcome) {
    case order_outcome::accepted:
        impl_->on_accepted(item, order, now);
        return;
    case order_outcome::holds:
        impl_->on_holds(item, order, now);
        return;
    case order_outcome::conflict:
        impl_->on_conflict(item, order, now);
        return;
    case order_outcome::failed:
        impl_->withdraw(item, order);
        item.paused_until = now + failure_pause;
        return;
    case order_outcome::unknown:
        item.paused_until = now + report_age;
        item.needs_report = true;
        return;
    }
}

void adapter_planner::on_report(std::string_view endpoint, const engine_report& report,
                                time_point now) {
    const auto found = impl_->engines.find(endpoint);
    if (found == impl_->engines.end()) {
        return;
    }
    auto& item = found->second;
    item.order_under_way = false;
    item.needs_report = false;
    item.orders_accepted = report.orders_accepted;
    const auto former = std::exchange(item.adapters, {});
    const auto models = std::exchange(item.models, {});
    for (const auto& model : report.models) {
        impl_->hold(item, model, now);
    }
    for (const auto& text : report.pending) {
        const auto slash = text.find('/');
        const auto at = text.find('@');
        if (slash == std::string::npos) {
            continue;
        }
        const model_name what{text.substr(0, slash), text.substr(slash + 1, at - slash - 1)};
        item.adapters[what] = make_slot(slot_state::loading, 0, now, now);
    }
    for (const auto& [what, held] : former) {
        if (const auto now_held = item.adapters.find(what); now_held != item.adapters.end()) {
            now_held->second.last_used = std::max(now_held->second.last_used, held.last_used);
        } else {
            impl_->change(item, what, residency::absent, held.version);
        }
    }
    for (const auto& [name, held] : models) {
        if (!item.models.contains(name)) {
            impl_->change(item, {name, {}}, residency::absent, 0);
        }
    }
}

void adapter_planner::on_report_failed(std::string_view endpoint, time_point now) {
    if (const auto found = impl_->engines.find(endpoint); found != impl_->engines.end()) {
        found->second.order_under_way = false;
        found->second.paused_until = now + failure_pause;
    }
}

std::optional<time_point> adapter_planner::next_due() const {
    std::optional<time_point> earliest;
    const auto consider = [&](time_point at) {
        earliest = earliest ? std::min(*earliest, at) : at;
    };
    for (const auto& [id, item] : impl_->engines) {
        if (item.order_under_way) {
            continue;
        }
        for (const auto& [what, held] : item.adapters) {
            if (held.state == slot_state::loading || held.state == slot_state::unloading) {
                consider(std::max(held.check_at, item.paused_until));
            }
        }
        for (const auto& [name, held] : item.models) {
            if (held.state == slot_state::loading) {
                consider(std::max(held.check_at, item.paused_until));
            }
        }
    }
    return earliest;
}

std::vector<residency_change> adapter_planner::take_changes() {
    return std::exchange(impl_->changes, {});
}

std::vector<residency_change> adapter_planner::all() const {
    std::vector<residency_change> out;
    for (const auto& [id, item] : impl_->engines) {
        for (const auto& [name, held] : item.models) {
            out.push_back({id, {name, {}}, to_residency(held.state), held.version});
        }
        for (const auto& [what, held] : item.adapters) {
            out.push_back({id, what, to_residency(held.state), held.version});
        }
    }
    return out;
}

} // namespace dragonflystair::fleet
