#include "tenant_faults.h"

#include "bad_callers.h"

#include <chrono>
#include <thread>

namespace dragonflystair::soak {

using std::chrono::milliseconds;

namespace {

/// Calls of each tenant without a quota in the surge that is checked.
constexpr std::size_t compared_calls = 60;
constexpr std::size_t refused_calls = 5;
/// So many calls in a row reach all gateways.
constexpr std::size_t undisturbed_calls = 40;
/// The timeout of each check; generous, so that the result does not depend on the machine's load.
constexpr milliseconds check_timeout{60'000};
constexpr milliseconds poll_interval{20};

/// Returns whether the condition holds within `check_timeout`.
bool wait_until(const std::function<bool()>& condition) {
    const auto end = std::chrono::steady_clock::now() + check_timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    return true;
}

} // namespace

std::function<void()> tenant_faults::begin(const fault& item) {
    switch (item.kind) {
    case fault_kind::replace_key: {
        // Half of the time no gateway can read of the revocation until its timeout has passed.
        const bool unread = item.target / tenant_checker::tenants % 2 == 0;
        auto end = unread ? cluster_.begin({fault_kind::store_refuses, item.at, item.lasts, 0})
                          : std::function<void()>([] {});
        tenants_.replace_key(item.target % tenant_checker::tenants,
                             [this] { cluster_.publish_configuration(); });
        return end;
    }
    case fault_kind::tenant_surge:
        return callers_.begin_surge(item.target % tenant_checker::tenants);
    case fault_kind::bad_callers: {
        const auto& gateways = cluster_.gateways();
        const auto& target = *gateways[item.target % gateways.size()];
        return begin_bad_callers(target.caller_address(), item.target / gateways.size());
    }
    default:
        return cluster_.begin(item);
    }
}

void tenant_faults::check_after_faults(guarantee_checker& checked) {
    // A gateway that was suspended may refuse keys until it is told that its copy is the newest.
    if (!wait_until([this] { return tenants_.served_in_a_row() >= undisturbed_calls; })) {
        checked.report_violation("calls are still refused after the last fault");
    }
    const auto end_surge = callers_.begin_surge(0);
    tenants_.begin_shares();
    if (!wait_until([this] { return tenants_.least_calls() >= compared_calls; })) {
        checked.report_violation("a tenant got no answers in the surge of another one");
    }
    tenants_.check_shares();
    end_surge();
    const auto before = tenants_.unknown_keys_refused();
    if (!wait_until([&] { return tenants_.unknown_keys_refused() >= before + refused_calls; })) {
        checked.report_violation("calls with unknown keys were not answered 401");
    }
}

} // namespace dragonflystair::soak
