#pragma once

namespace dragonflystair::policy {

/// Allows retries (or hedges) as a share of successes, so that retries cannot multiply an overload.
class retry_budget {
public:
    /// `share` of successes earns retries; at most `burst` are saved up, and as many are there at
    /// the start.
    retry_budget(double share, double burst);

    void on_success();

    /// Takes one retry; false if the budget is used up.
    bool try_take();

private:
    double share_;
    double burst_;
    double saved_;
};

} // namespace dragonflystair::policy
