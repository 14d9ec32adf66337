#pragma once

namespace dragonflystair::policy {

/// Limits retries (or hedges) to a share of successful requests, so that retries cannot multiply an
/// overload. A token bucket.
class retry_budget {
public:
    /// Each success adds `share` of a retry. At most `burst` retries accumulate; the budget starts
    /// full.
    retry_budget(double share, double burst);

    /// Records a successful request.
    void on_success();

    /// Takes one retry from the budget; returns false if the budget is exhausted.
    bool try_take();

private:
    double share_;
    double burst_;
    double available_;
};

} // namespace dragonflystair::policy
