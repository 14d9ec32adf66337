#include "dragonflystair/fleet/fair_queue.h"

#include "dragonflystair/fleet/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <functional>
#include <utility>

namespace dragonflystair::fleet {

using std::chrono::milliseconds;
using support::duration;
using support::time_point;

namespace {

/// Less urgent calls queue as if they had arrived this much later per priority step. A fifth of a
/// usual objective delays them without starving them.
constexpr milliseconds priority_step{150};

/// Cost of a call that names no tokens, about that of a short generation.
constexpr double unspecified_call_cost = 500;

/// Callers may send any numbers of tokens; no engine holds more than about this many.
constexpr double max_call_cost = 200'000;

/// Share that a tenant without waiting calls saves up, so that neither calls that arrive together
/// nor a long prompt delay its other calls. A tenant with one call per second has no burst without
/// it.
constexpr milliseconds max_credit{1'000};

/// The same as a time in which the whole service may be used for one tenant's credit: a quarter of
/// a usual objective, by which the others are delayed at most.
constexpr milliseconds max_credit_of_service{100};

/// Share that a tenant saves up while its calls wait, because of their priority or because no
/// usable endpoint has their adapter. Longer than the delay by the lowest of ten priorities.
constexpr milliseconds max_waiting_credit{2'000};

/// A measurement of a service's throughput lasts until so many calls have started, but at least and
/// at most so long. Only the time in which calls wait for slots counts.
constexpr std::size_t measured_calls = 10;
constexpr milliseconds min_measurement{200};
constexpr milliseconds max_measurement{2'000};

/// Age after which a measured throughput is no longer used.
constexpr milliseconds max_measurement_age{10'000};

/// Period over which the started calls are added up for the time before the first measurement.
constexpr milliseconds recent_period{1'000};

/// Weight of a new measurement relative to the previous ones.
constexpr double measurement_weight = 0.5;

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

double cost_of(const pending_call& call) {
    const double tokens =
        static_cast<double>(call.prompt_tokens) + static_cast<double>(call.output_tokens);
    return tokens > 0 ? std::min(tokens, max_call_cost) : unspecified_call_cost;
}

/// Returns a tenant's rate in tokens per second.
double token_rate(const tenant& definition) {
    return definition.unit == quota_unit::tokens ? definition.rate_per_s
                                                 : definition.rate_per_s * unspecified_call_cost;
}

} // namespace

void fair_queue::configure(std::span<const tenant> tenants) {
    weights_.clear();
    double sum = 0;
    std::size_t rated = 0;
    for (const auto& definition : tenants) {
        if (definition.rate_per_s > 0) {
            sum += token_rate(definition);
            ++rated;
        }
    }
    for (const auto& definition : tenants) {
        if (definition.rate_per_s > 0) {
            weights_.insert_or_assign(definition.name,
                                      token_rate(definition) * static_cast<double>(rated) / sum);
        }
    }
    for (auto& [name, service] : services_) {
        for (auto& [tenant, use] : service.tenants) {
            use.weight = weight_of(tenant);
        }
    }
}

double fair_queue::weight_of(std::string_view tenant) const {
    const auto found = weights_.find(tenant);
    return found == weights_.end() ? 1 : found->second;
}

void fair_queue::add(const pending_call& call) {
    auto& service = services_[call.service];
    auto known = service.tenants.find(call.tenant);
    if (known == service.tenants.end()) {
        known = service.tenants.emplace(call.tenant, tenant_use{}).first;
        known->second.weight = weight_of(call.tenant);
    }
    auto& use = known->second;
    if (use.waiting++ == 0) {
        const double credit =
            std::min(service.speed * seconds(max_credit),
                     service.cost_per_s / use.weight * seconds(max_credit_of_service));
        use.due = std::max(use.due, service.virtual_time - credit);
    }
    waiting_call added;
    added.number_ = call.number;
    added.service_ = &service;
    added.use_ = &use;
    added.has_tenant_ = !call.tenant.empty();
    added.key_ = call.objective_deadline + priority_step * call.priority;
    added.cost_ = cost_of(call);
    added.priority_ = call.priority;
    with_tenant_ += added.has_tenant_ ? 1 : 0;
    calls_.push_back(added);
}

std::optional<fair_queue::waiting_call> fair_queue::take(std::uint64_t number) {
    const auto found = std::ranges::find(calls_, number, &waiting_call::number_);
    if (found == calls_.end()) {
        return std::nullopt;
    }
    const auto call = *found;
    calls_.erase(found);
    --call.use_->waiting;
    with_tenant_ -= call.has_tenant_ ? 1 : 0;
    return call;
}

void fair_queue::erase(std::uint64_t number) {
    take(number);
}

void fair_queue::start(std::uint64_t number) {
    const auto call = take(number);
    if (!call) {
        return;
    }
    auto& service = *call->service_;
    auto& use = *call->use_;
    service.recent_cost += call->cost_;
    const double advance = std::max(use.due - service.virtual_time, 0.0);
    service.virtual_time += advance;
    use.due += call->cost_ / use.weight;
    if (service.was_busy) {
        use.started += call->cost_;
        ++service.started_calls;
        service.advanced += advance;
    }
}

void fair_queue::on_no_slot(std::string_view service) {
    if (const auto found = services_.find(service); found != services_.end()) {
        found->second.no_slot = true;
    }
}

/// Updates the measurement of a service's throughput.
void fair_queue::measure(service_use& service, time_point now) {
    if (service.no_slot) {
        service.busy += now - service.evaluated_at;
        service.busy_until = now;
    } else if (now - service.busy_until > max_measurement_age) {
        service.speed = 0;
        service.cost_per_s = 0;
        service.observed_speed = 0;
        service.advanced = 0;
        service.busy = {};
        service.started_calls = 0;
        for (auto& [name, use] : service.tenants) {
            use.cost_per_s = 0;
            use.started = 0;
        }
    }
    if (service.busy >= max_measurement ||
        (service.busy >= min_measurement && service.started_calls >= measured_calls)) {
        finish_measurement(service);
    }
    const auto since = std::min<duration>(now - service.evaluated_at, max_measurement_age);
    service.recent_cost *= std::exp(-seconds(since) / seconds(recent_period));
    service.was_busy = std::exchange(service.no_slot, false);
    service.evaluated_at = now;
}

void fair_queue::finish_measurement(service_use& service) {
    const double length_s = seconds(service.busy);
    const double weight = service.speed > 0 ? measurement_weight : 1;
    double cost = 0;
    double active_weight = 0;
    for (auto& [name, use] : service.tenants) {
        if (use.started > 0 || use.waiting > 0) {
            active_weight += use.weight;
        }
        cost += use.started;
    }
    for (auto& [name, use] : service.tenants) {
        if (cost > 0) { // Otherwise all endpoints were unavailable.
            use.cost_per_s += weight * (use.started / length_s - use.cost_per_s);
        }
    }
    std::erase_if(service.tenants, [&](const auto& entry) {
        const auto& use = entry.second;
        return use.waiting == 0 && use.started <= 0 && use.due <= service.virtual_time;
    });
    for (auto& [name, use] : service.tenants) {
        use.started = 0;
    }
    service.busy = {};
    service.started_calls = 0;
    const double advanced = std::exchange(service.advanced, 0);
    if (cost > 0) {
        service.cost_per_s += weight * (cost / length_s - service.cost_per_s);
        service.observed_speed += weight * (advanced / length_s - service.observed_speed);
        service.speed += weight * (cost / length_s / active_weight - service.speed);
    }
}

std::span<const fair_queue::waiting_call> fair_queue::order(time_point now) {
    for (auto& [name, service] : services_) {
        measure(service, now);
    }
    std::ranges::stable_sort(calls_, {}, &waiting_call::key_);
    if (with_tenant_ > 0) {
        rank_calls();
        // The order of calls of different services is of no importance.
        std::ranges::stable_sort(calls_, {}, &waiting_call::rank_);
    }
    return calls_;
}

/// Computes the rank of each call. The calls of one tenant keep their order.
void fair_queue::rank_calls() {
    for (auto& [name, service] : services_) {
        service.rank_speed = service.speed;
        if (service.rank_speed <= 0) {
            double weight = 0;
            for (const auto& [tenant, use] : service.tenants) {
                weight += use.weight;
            }
            service.rank_speed =
                service.recent_cost / seconds(recent_period) / std::max(weight, 1.0);
        }
        const double bound =
            service.virtual_time - service.rank_speed * seconds(max_waiting_credit);
        for (auto& [tenant, use] : service.tenants) {
            use.due = std::max(use.due, bound);
            use.next_due = use.due;
            use.last_rank = use.due;
        }
    }
    for (auto& call : calls_) {
        const auto& service = *call.service_;
        auto& use = *call.use_;
        call.expected_wait_ = {};
        const double offset = service.rank_speed * seconds(priority_step) * call.priority_;
        use.last_rank = std::max(use.last_rank, use.next_due + offset);
        call.rank_ = use.last_rank;
        if (call.has_tenant_ && service.speed > 0) {
            const double speed =
                std::max({service.speed, service.observed_speed, use.cost_per_s / use.weight});
            const double wait_s = std::max(use.next_due - service.virtual_time, 0.0) / speed;
            call.expected_wait_ = std::chrono::duration_cast<duration>(
                std::min(std::chrono::duration<double>(wait_s),
                         std::chrono::duration<double>(max_measurement_age)));
        }
        use.next_due += call.cost_ / use.weight;
    }
}

} // namespace dragonflystair::fleet
