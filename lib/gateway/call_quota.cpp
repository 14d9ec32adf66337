#include "dragonflystair/support/hash.h"

#include "call_relay.h"

#include <algorithm>
#include <utility>

namespace dragonflystair::gateway {

using std::chrono::milliseconds;
using support::boot_clock;

namespace {

/// Longest wait for tokens as a share of the time to the first event that the caller wants.
constexpr int max_wait_divisor = 3;

net::problem quota_problem(milliseconds retry_after) {
    return {429, "quota_exceeded", "the tenant's quota is used up", "not_run", retry_after};
}

/// Returns a number from 0 to 1 that differs from call to call.
double spread_of(std::string_view id) {
    constexpr std::uint64_t steps = 1'000;
    return static_cast<double>(support::fingerprint(id) % steps) / static_cast<double>(steps);
}

} // namespace

/// Returns the problem of a call that its tenant's quota does not allow now.
net::problem call_relay::over_quota(const open_call& call) {
    const auto now = boot_clock::now();
    view_.quotas.on_refused(call.tenant, now);
    view_.counters.increment("quota_refusals_total", call.tenant);
    return quota_problem(
        view_.quotas.retry_after(call.tenant, call.quota_cost, spread_of(call.request.id), now));
}

/// Takes the tokens of the call. Waits for them for a short time if they may arrive. Returns a
/// problem if the quota does not allow the call.
net::awaitable<std::optional<net::problem>> call_relay::take_quota(open_call& call) {
    if (!view_.quotas.limited(call.tenant)) {
        co_return std::nullopt;
    }
    const auto arrived = call.arrived;
    call.quota_cost =
        view_.quotas.cost(call.tenant, call.request.prompt_tokens + call.request.output_tokens);
    switch (view_.quotas.take(call.tenant, call.number, call.quota_cost, arrived)) {
    case fleet::quota_decision::granted:
        call.quota_taken = arrived;
        co_return std::nullopt;
    case fleet::quota_decision::refused:
        co_return over_quota(call);
    case fleet::quota_decision::waits:
        break;
    }
    view_.counters.increment("quota_waits_total");
    on_.quota_wanted();
    const milliseconds objective =
        call.route->objective.count() > 0 ? call.route->objective : milliseconds(1'000);
    const milliseconds wait = std::min(fleet::quota_wallet::max_wait, objective / max_wait_divisor);
    const auto until = std::min(arrived + wait, call.answer_by);
    while (!call.quota_taken && !call.caller_gone && boot_clock::now() < until) {
        co_await call.changed.wait_until(until);
    }
    if (!call.quota_taken) {
        view_.quotas.cancel(call.tenant, call.number);
        if (call.caller_gone) {
            co_return quota_problem({});
        }
        co_return over_quota(call);
    }
    co_return std::nullopt;
}

/// Gives the tokens of a call back that no endpoint has run.
void call_relay::return_quota(const open_call& call) {
    if (call.quota_taken && call.runs == 0) {
        view_.quotas.give_back(call.tenant, call.quota_cost, call.sends > 0, *call.quota_taken,
                               boot_clock::now());
    }
}

void call_relay::on_quota_changed() {
    const auto now = boot_clock::now();
    for (const auto number : view_.quotas.take_granted(now)) {
        if (const auto found = calls_.find(number); found != calls_.end()) {
            found->second->quota_taken = now;
            found->second->changed.notify();
        }
    }
}

} // namespace dragonflystair::gateway
