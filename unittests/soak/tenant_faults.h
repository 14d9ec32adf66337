#pragma once

#include "fault_plan.h"
#include "soak_callers.h"
#include "soak_cluster.h"
#include "tenant_checker.h"

#include <functional>

namespace dragonflystair::soak {

/// Injects the faults that concern tenants and callers; all others are passed to the cluster.
class tenant_faults {
public:
    tenant_faults(soak_cluster& cluster, soak_callers& callers, tenant_checker& tenants)
        : cluster_(cluster), callers_(callers), tenants_(tenants) {}

    /// Starts a fault and returns the function that ends it.
    std::function<void()> begin(const fault& item);

    /// Lets one tenant send many times its usual load, with no other fault, until all others have
    /// made a number of calls, and checks their shares. Then waits until unknown keys are refused.
    void check_after_faults(guarantee_checker& checked);

private:
    soak_cluster& cluster_;
    soak_callers& callers_;
    tenant_checker& tenants_;
};

} // namespace dragonflystair::soak
