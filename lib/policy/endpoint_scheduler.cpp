#include "dragonflystair/policy/endpoint_scheduler.h"

#include "endpoint_scheduler_impl.h"

#include <algorithm>

namespace dragonflystair::policy {

namespace {

/// Period in which queued requests are checked against their deadlines.
constexpr std::chrono::milliseconds check_period{25};
/// Inverse weight of a new sample in the averages of load and permit durations.
constexpr int sample_divisor = 4;

} // namespace

endpoint_scheduler::endpoint_scheduler(scheduler_limits limits)
    : impl_(std::make_unique<impl>(limits)) {}
endpoint_scheduler::~endpoint_scheduler() = default;
endpoint_scheduler::endpoint_scheduler(endpoint_scheduler&&) noexcept = default;
endpoint_scheduler& endpoint_scheduler::operator=(endpoint_scheduler&&) noexcept = default;

std::optional<refusal> endpoint_scheduler::submit(request req, support::time_point now) {
    impl_->demand.on_request(req.adapter, now);
    const auto lane = impl_->lane_of(req);
    if (const auto refused = impl_->admission(req, lane, now)) {
        return refused;
    }
    impl_->enqueue(std::move(req), lane, now);
    return std::nullopt;
}

bool endpoint_scheduler::cancel(std::string_view request, support::time_point /*now*/) {
    const auto it = impl_->queued_by_id.find(request);
    if (it == impl_->queued_by_id.end()) {
        return impl_->running.contains(request);
    }
    const auto [work, key] = it->second;
    auto& queue = impl_->lane(work);
    impl_->remove(queue, queue.find(key));
    return false;
}

std::vector<scheduler_action> endpoint_scheduler::poll(support::time_point now) {
    actions out;
    if (impl_->orders_allowed) {
        impl_->orders_blocked_since.reset();
    }
    if (!impl_->orders_allowed && !impl_->orders_blocked_since) {
        impl_->orders_blocked_since = now;
    }
    impl_->refuse_unservable(now, out);
    if (impl_->dispatch_allowed) {
        impl_->dispatch(now, out);
    }
    impl_->plan_loads(now, out);
    return out;
}

std::optional<support::time_point> endpoint_scheduler::next_wakeup(support::time_point now) const {
    const bool has_pending_work = !impl_->queued_by_id.empty() || !impl_->loads.empty();
    return has_pending_work ? std::optional(now + check_period) : std::nullopt;
}

void endpoint_scheduler::on_permit(std::string_view adapter, bool granted,
                                   support::time_point now) {
    const auto it = impl_->loads.find(adapter);
    if (it == impl_->loads.end() || it->second.phase != load_phase::requested) {
        if (granted) {
            impl_->unneeded_permits.emplace_back(adapter);
        }
        return;
    }
    auto& record = it->second;
    if (!granted) {
        record.phase = load_phase::idle;
        record.not_before = now + impl_->limits.load_retry_delay;
        return;
    }
    record.phase = load_phase::granted;
    record.granted_at = now;
    const auto interval = now - std::max(impl_->last_permit, record.requested_at);
    impl_->last_permit = now;
    impl_->permit_interval += (interval - impl_->permit_interval) / sample_divisor;
    impl_->permit_wait += (now - record.requested_at - impl_->permit_wait) / sample_divisor;
}

void endpoint_scheduler::on_load_done(std::string_view adapter, bool loaded,
                                      support::time_point now) {
    const auto it = impl_->loads.find(adapter);
    if (it == impl_->loads.end() || it->second.phase != load_phase::ordered) {
        return;
    }
    auto& record = it->second;
    record.phase = load_phase::idle;
    if (std::exchange(record.stale, false)) {
        return;
    }
    impl_->slots.end_load(adapter, loaded);
    impl_->slot_changed_at[std::string(adapter)] = now;
    if (!loaded) {
        record.on_failure(impl_->limits.load_retry_delay, now);
        return;
    }
    impl_->last_load = now;
    impl_->load_time += (now - record.ordered_at - impl_->load_time) / sample_divisor;
    impl_->loads.erase(it);
}

void endpoint_scheduler::on_unload_done(std::string_view adapter, std::optional<bool> unloaded,
                                        support::time_point now) {
    const auto it = impl_->pending_unloads.find(adapter);
    if (it == impl_->pending_unloads.end()) {
        return;
    }
    const bool stale = it->second;
    impl_->pending_unloads.erase(it);
    if (stale) {
        return;
    }
    impl_->slots.end_unload(adapter, unloaded);
    impl_->slot_changed_at[std::string(adapter)] = now;
}

void endpoint_scheduler::on_first_token(std::string_view /*request*/, support::time_point /*now*/) {
}

void endpoint_scheduler::on_finished(std::string_view request, finish_kind kind, std::size_t tokens,
                                     support::time_point now) {
    const auto it = impl_->running.find(request);
    if (it == impl_->running.end()) {
        return;
    }
    const auto finished = it->second;
    impl_->running.erase(it);
    impl_->slots.unpin(finished.adapter);
    if (kind == finish_kind::done) {
        impl_->service.on_finished(finished.lane, finished.adapter, now - finished.started, tokens,
                                   now);
    }
}

std::vector<std::string> endpoint_scheduler::on_report(const engine_report& report,
                                                       support::time_point now) {
    std::vector<std::string> ended;
    if (!impl_->engine_start.empty() && impl_->engine_start != report.start) {
        ended = impl_->on_engine_restart();
    }
    impl_->engine_start = report.start;
    impl_->apply_limits(report);
    impl_->release_takeover(report, now);
    impl_->slots.reconcile(report.resident, impl_->unsettled(now));
    std::erase_if(impl_->slot_changed_at, [&](const auto& item) {
        return now - item.second > impl_->limits.max_report_age &&
               impl_->slots.state(item.first) != slot_state::unloading;
    });
    impl_->demand.prune(now);
    return ended;
}

void endpoint_scheduler::on_takeover(const engine_report& report,
                                     std::span<const std::string> unusable,
                                     support::time_point now) {
    impl_->engine_start = report.start;
    impl_->apply_limits(report);
    impl_->slots.adopt(report.resident);
    for (const auto& adapter : unusable) {
        impl_->slots.set_unusable(adapter, true);
    }
    impl_->takeover_time = now;
    impl_->former_owner_running = report.active.size();
}

void endpoint_scheduler::allow_adapter(std::string_view adapter) {
    impl_->slots.set_unusable(adapter, false);
}

void endpoint_scheduler::allow_dispatch(bool allowed) {
    impl_->dispatch_allowed = allowed;
}

void endpoint_scheduler::allow_orders(bool allowed) {
    impl_->orders_allowed = allowed;
}

void endpoint_scheduler::begin_leaving() {
    impl_->leaving = true;
}

void endpoint_scheduler::end_leaving() {
    impl_->leaving = false;
}

void endpoint_scheduler::prefetch(std::string_view adapter, double urgency,
                                  support::time_point now) {
    if (impl_->leaving || impl_->slots.state(adapter) != slot_state::absent ||
        impl_->slots.marked_unusable(adapter)) {
        return;
    }
    auto& record = impl_->loads[std::string(adapter)];
    if (!record.suspended(now)) {
        record.prefetch_urgency = urgency;
    }
}

endpoint_load endpoint_scheduler::load(support::time_point now) const {
    endpoint_load result;
    for (auto& name : impl_->slots.resident()) {
        if (impl_->slots.usable(name) && impl_->draining_adapter != name) {
            result.resident.push_back(std::move(name));
        }
    }
    result.running = running();
    result.queued = queued();
    result.batch_limit = impl_->limits.batch_limit;
    result.expected_wait = std::chrono::ceil<std::chrono::milliseconds>(
        impl_->short_wait(impl_->short_lane.size(), now));
    return result;
}

std::size_t endpoint_scheduler::running() const {
    return impl_->running.size();
}
std::size_t endpoint_scheduler::queued() const {
    return impl_->queued_by_id.size();
}
const slot_table& endpoint_scheduler::slots() const {
    return impl_->slots;
}

} // namespace dragonflystair::policy
