#pragma once

#include "dragonflystair/support/time.h"

#include <deque>
#include <optional>

namespace dragonflystair::soak {

/// Limit of a tenant over all gateways.
struct tenant_limit {
    double rate_per_s = 0;
    double burst = 0;
    double slack = 0; ///< Added to what may reach endpoints in a window.
};

/// Sums up what reaches endpoints in the length of a window and compares it with the bound of
/// docs/design/quotas.md.
class quota_window {
public:
    explicit quota_window(tenant_limit limit) : limit_(limit) {}

    /// Records a call. Returns the sum of the window that ends now if it is beyond the bound.
    std::optional<double> add(double cost, support::time_point now);
    /// Records that calls may have been seen later than they arrived, by up to `delay`.
    void add_stall(support::duration delay, support::time_point now);
    [[nodiscard]] double bound() const;
    /// The largest sum of any window.
    [[nodiscard]] double largest() const { return largest_; }

private:
    struct entry {
        support::time_point at;
        double amount = 0;
    };

    static double sum_since(std::deque<entry>& entries, support::time_point start);

    tenant_limit limit_;
    std::deque<entry> entries_;
    std::deque<entry> stalls_; ///< In seconds.
    double largest_ = 0;
};

} // namespace dragonflystair::soak
