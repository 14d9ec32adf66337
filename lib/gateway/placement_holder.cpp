#include "placement_holder.h"

#include "dragonflystair/net/spawn.h"
#include "dragonflystair/support/log.h"

#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Orders of a former holder that are under way have arrived after this time.
constexpr milliseconds order_travel{400};
/// Time for the answer to the question what an engine holds.
constexpr milliseconds report_timeout{400};

/// Engines that check fencing refuse what the former holder still sends, so there a new holder only
/// waits until orders under way have arrived.
fleet::lease_limits limits_of(const config::gateway_settings& settings) {
    fleet::lease_limits limits;
    limits.turn = settings.engines_check_fencing ? order_travel : settings.lease;
    return limits;
}

fleet::order_outcome to_outcome(platform::order_result result) {
    switch (result) {
    case platform::order_result::accepted:
        return fleet::order_outcome::accepted;
    case platform::order_result::already_done:
        return fleet::order_outcome::holds;
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

platform::engine_order to_engine_order(const fleet::planned_order& order, std::string holder,
                                       std::uint64_t fence) {
    platform::engine_order out;
    out.load = order.kind == fleet::planned_kind::load;
    out.model = order.what;
    out.version = order.version;
    out.orders_accepted = order.orders_accepted;
    out.holder = std::move(holder);
    out.fence = fence;
    return out;
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
    const auto answer =
        co_await store_.join(group(), member_, fleet::lease_limits{}.lifetime, lease_.generation());
    joining_ = false;
    if (!answer) {
        co_return;
    }
    const auto& membership = answer.value();
    lease_.on_joined(membership.generation, membership.owns_first_partition, sent,
                     boot_clock::now());
    note_lease(held_before);
}

void placement_holder::note_lease(bool held_before) {
    if (held_before == lease_.holds()) {
        return;
    }
    if (lease_.holds()) {
        planner_.begin_term();
    }
    support::log_change(lease_.holds() ? "lease_won" : "lease_lost",
                        {{"data_centre", data_centre_},
                         {"fence", std::to_string(lease_.fence())},
                         {"generation", std::to_string(lease_.generation())}});
    on_.on_lease();
}

net::awaitable<void> placement_holder::leave() {
    const auto self = shared_from_this();
    if (!lease_.holds()) {
        co_return;
    }
    lease_.release();
    note_lease(true);
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
        net::spawn(view_.executor, "order", [self, order] {
            return order.kind == fleet::planned_kind::report ? self->ask(order)
                                                             : self->carry_out(order);
        });
    }
    publish();
    note_unmet();
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

net::awaitable<void> placement_holder::carry_out(fleet::planned_order order) {
    const auto self = shared_from_this();
    if (!view_.may_send(order.endpoint, boot_clock::now())) {
        planner_.on_outcome(order, fleet::order_outcome::failed, boot_clock::now());
        co_return;
    }
    auto text = to_engine_order(order, view_.settings.name, lease_.fence());
    const auto result = co_await engines_.order(order.address, order.endpoint, std::move(text),
                                                fleet::adapter_planner::answer_time);
    note_order(order, platform::to_string(result));
    if (result == platform::order_result::fenced) {
        const bool held_before = lease_.holds();
        lease_.on_fenced(boot_clock::now());
        note_lease(held_before);
    }
    planner_.on_outcome(order, to_outcome(result), boot_clock::now());
    pump();
}

void placement_holder::note_order(const fleet::planned_order& order, std::string_view result) {
    view_.counters.increment("orders_total", result);
    if (order.check) {
        return;
    }
    support::log_change("order",
                        {{"kind", order.kind == fleet::planned_kind::load ? "load" : "unload"},
                         {"endpoint", order.endpoint},
                         {"adapter", order.what.model + "/" + order.what.adapter},
                         {"version", order.version ? std::to_string(*order.version) : "newest"},
                         {"expected_orders", std::to_string(order.orders_accepted)},
                         {"fence", std::to_string(lease_.fence())},
                         {"result", std::string(result)}});
}

void placement_holder::note_unmet() {
    for (const auto& item : planner_.take_unmet()) {
        const auto reason = fleet::to_string(item.reason);
        view_.counters.increment("adapters_not_loaded_total", reason);
        const auto waited = std::chrono::duration_cast<milliseconds>(item.waited);
        support::log_request("adapter_not_loaded",
                             {{"data_centre", data_centre_},
                              {"adapter", item.what.model + "/" + item.what.adapter},
                              {"calls", std::to_string(item.waiting)},
                              {"waited_ms", std::to_string(waited.count())},
                              {"reason", std::string(reason)}});
    }
}

net::awaitable<void> placement_holder::ask(fleet::planned_order order) {
    const auto self = shared_from_this();
    if (!view_.may_send(order.endpoint, boot_clock::now())) {
        planner_.on_report_failed(order.endpoint, boot_clock::now());
        co_return;
    }
    const auto report = co_await engines_.report(order.address, order.endpoint, report_timeout);
    if (report) {
        planner_.on_report(order.endpoint, report.value(), boot_clock::now());
    } else {
        planner_.on_report_failed(order.endpoint, boot_clock::now());
    }
    pump();
}

void placement_holder::publish() {
    const auto changes = planner_.take_changes();
    if (!changes.empty()) {
        on_.on_changes(changes);
    }
}

} // namespace dragonflystair::gateway
