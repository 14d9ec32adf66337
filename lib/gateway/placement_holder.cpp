#include "placement_holder.h"

#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/log.h"

#include <exception>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Time after which orders that a former holder has in flight have arrived.
constexpr milliseconds order_transit_time{400};
/// Timeout of a request for the adapters that an engine holds.
constexpr milliseconds report_timeout{400};

/// Engines that check fencing numbers reject what the former holder still sends, so with them a new
/// holder waits only until the orders in flight have arrived.
fleet::lease_limits limits_of(const config::gateway_settings& settings) {
    fleet::lease_limits limits;
    limits.first_order_delay = settings.engines_check_fencing ? order_transit_time : settings.lease;
    return limits;
}

fleet::order_outcome to_outcome(platform::order_result result) {
    switch (result) {
    case platform::order_result::accepted:
        return fleet::order_outcome::accepted;
    case platform::order_result::already_done:
        return fleet::order_outcome::in_effect;
    case platform::order_result::conflict:
        return fleet::order_outcome::conflict;
    case platform::order_result::unknown:
        return fleet::order_outcome::unknown;
    case platform::order_result::fenced:
    case platform::order_result::misdirected:
    case platform::order_result::refused:
    case platform::order_result::unreachable:
        return fleet::order_outcome::failed;
    }
    return fleet::order_outcome::failed;
}

platform::engine_run receiver_of(const fleet::planned_order& order) {
    return {order.address, order.endpoint, order.started_ms};
}

platform::engine_order to_engine_order(const fleet::planned_order& order, std::string holder,
                                       std::uint64_t fence) {
    platform::engine_order result;
    result.load = order.kind == fleet::order_kind::load;
    result.model = order.model;
    result.version = order.version;
    result.orders_accepted = order.orders_accepted;
    result.holder = std::move(holder);
    result.fence = fence;
    return result;
}

} // namespace

placement_holder::placement_holder(node_view& view, platform::store_client& store,
                                   platform::endpoint_client& engines, std::string data_centre,
                                   hooks callbacks)
    : view_(view), store_(store), engines_(engines), data_centre_(std::move(data_centre)),
      member_(view.settings.name + "." + view.incarnation), on_(std::move(callbacks)),
      lease_(limits_of(view.settings)), pump_timer_(view.executor) {}

bool placement_holder::active() const {
    return lease_.may_order(on_.linked(), boot_clock::now());
}

void placement_holder::tick() {
    const auto now = boot_clock::now();
    lease_.on_tick(now);
    if (lease_.take_leave_due()) {
        net::spawn(view_.executor, "leave_lease",
                   [self = shared_from_this()] { return self->leave_group(); });
    }
    if (joining_ || view_.stopping || !lease_.join_due(on_.rank(), now)) {
        return;
    }
    joining_ = true;
    lease_.on_join_sent(now);
    net::spawn(view_.executor, "join_lease", [self = shared_from_this()] { return self->join(); });
}

net::awaitable<void> placement_holder::join() {
    const auto self = shared_from_this();
    const auto sent = boot_clock::now();
    const bool held_before = lease_.holds();
    // A generation of an earlier era tells the store nothing.
    const auto generation = joined_.era == store_.era() ? joined_.generation : 0;
    const auto answer =
        co_await store_.join(group(), member_, fleet::lease_limits{}.lifetime, generation);
    joining_ = false;
    if (!answer || answer.value().era < store_.era()) {
        co_return;
    }
    joined_ = answer.value();
    lease_.on_joined(fleet::fencing_number(joined_.era, joined_.generation),
                     joined_.owns_first_partition, sent, boot_clock::now());
    on_lease_changed(held_before);
}

void placement_holder::on_lease_changed(bool held_before) {
    if (held_before == lease_.holds()) {
        return;
    }
    if (lease_.holds()) {
        planner_.on_lease_acquired();
    }
    support::log_change(lease_.holds() ? "lease_won" : "lease_lost",
                        {{"data_centre", data_centre_},
                         {"fence", std::to_string(lease_.fence())},
                         {"store_era", std::to_string(joined_.era)},
                         {"generation", std::to_string(joined_.generation)}});
    on_.lease_changed();
}

net::awaitable<void> placement_holder::leave() {
    const auto self = shared_from_this();
    if (!lease_.holds()) {
        co_return;
    }
    lease_.release();
    on_lease_changed(true);
    co_await leave_group();
}

net::awaitable<void> placement_holder::leave_group() {
    const auto self = shared_from_this();
    const auto answer = co_await store_.leave(group(), member_);
    if (!answer) {
        support::log_change("lease_not_left",
                            {{"data_centre", data_centre_}, {"why", answer.error().message}});
    }
}

void placement_holder::pump() {
    if (!active()) {
        return;
    }
    for (auto& order : planner_.plan(boot_clock::now())) {
        auto self = shared_from_this();
        net::spawn(view_.executor, "order", [self, order] { return self->run_order(order); });
    }
    publish_changes();
    record_unmet_demand();
    schedule_pump();
}

void placement_holder::schedule_pump() {
    const auto due = planner_.next_due();
    if (!due) {
        return;
    }
    pump_timer_.expires_after(std::max(*due - boot_clock::now(), support::duration{}));
    pump_timer_.async_wait([weak = weak_from_this()](const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (self && !code) {
            self->pump();
        }
    });
}

/// Carries out a planned order. The planner gets an outcome whatever happens: it plans nothing else
/// for an engine whose order is in flight.
net::awaitable<void> placement_holder::run_order(fleet::planned_order order) {
    const auto self = shared_from_this();
    const bool is_report = order.kind == fleet::order_kind::report;
    try {
        if (is_report) {
            co_await request_report(order);
        } else {
            co_await send_order(order);
        }
        co_return;
    } catch (...) {
        net::log_unhandled("order", std::current_exception());
    }
    if (is_report) {
        on_report_failed(order);
    } else {
        planner_.on_outcome(order, fleet::order_outcome::failed, boot_clock::now());
    }
}

void placement_holder::on_report_failed(const fleet::planned_order& order) {
    if (planner_.concerns_present_run(order)) {
        planner_.on_report_failed(order.endpoint, boot_clock::now());
    }
}

net::awaitable<void> placement_holder::send_order(fleet::planned_order order) {
    const auto self = shared_from_this();
    if (!view_.may_send(order.endpoint, boot_clock::now()) || !on_.take_permit(order.endpoint)) {
        planner_.on_outcome(order, fleet::order_outcome::failed, boot_clock::now());
        co_return;
    }
    view_.note_sent(order.endpoint,
                    order.check ? fleet::request_kind::check : fleet::request_kind::order);
    auto engine_order = to_engine_order(order, view_.settings.name, lease_.fence());
    const auto result = co_await engines_.order(receiver_of(order), std::move(engine_order),
                                                fleet::adapter_planner::answer_time);
    record_order(order, platform::to_string(result));
    if (result == platform::order_result::fenced) {
        const bool held_before = lease_.holds();
        lease_.on_fenced(boot_clock::now());
        on_lease_changed(held_before);
    }
    planner_.on_outcome(order, to_outcome(result), boot_clock::now());
    pump();
}

void placement_holder::record_order(const fleet::planned_order& order, std::string_view result) {
    view_.counters.increment("orders_total", result);
    if (order.check) {
        return;
    }
    support::log_change("order",
                        {{"kind", order.kind == fleet::order_kind::load ? "load" : "unload"},
                         {"endpoint", order.endpoint},
                         {"adapter", order.model.model + "/" + order.model.adapter},
                         {"version", order.version ? std::to_string(*order.version) : "newest"},
                         {"expected_orders", std::to_string(order.orders_accepted)},
                         {"fence", std::to_string(lease_.fence())},
                         {"result", std::string(result)}});
}

void placement_holder::record_unmet_demand() {
    for (const auto& demand : planner_.take_unmet()) {
        const auto reason = fleet::to_string(demand.reason);
        view_.counters.increment("adapters_not_loaded_total", reason);
        const auto waited = std::chrono::duration_cast<milliseconds>(demand.waited);
        support::log_request("adapter_not_loaded",
                             {{"data_centre", data_centre_},
                              {"adapter", demand.model.model + "/" + demand.model.adapter},
                              {"calls", std::to_string(demand.waiting)},
                              {"waited_ms", std::to_string(waited.count())},
                              {"reason", std::string(reason)}});
    }
}

net::awaitable<void> placement_holder::request_report(fleet::planned_order order) {
    const auto self = shared_from_this();
    if (!view_.may_send(order.endpoint, boot_clock::now()) || !on_.take_permit(order.endpoint)) {
        on_report_failed(order);
        co_return;
    }
    view_.note_sent(order.endpoint, fleet::request_kind::report);
    const auto report = co_await engines_.report(receiver_of(order), report_timeout);
    if (!report) {
        on_report_failed(order);
    } else if (planner_.concerns_present_run(order)) {
        planner_.on_report(order.endpoint, report.value(), boot_clock::now());
    }
    pump();
}

void placement_holder::publish_changes() {
    const auto changes = planner_.take_changes();
    if (!changes.empty()) {
        on_.on_changes(changes);
    }
}

} // namespace dragonflystair::gateway
