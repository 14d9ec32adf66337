#pragma once

#include "dragonflystair/support/time.h"

#include <cstddef>
#include <optional>

namespace dragonflystair::fleet {

/// Adaptive limit on the adapters that the engines of one data centre fetch from the store at once.
///
/// Load pattern it is designed for: a burst of rare adapters, as after a shift of demand. The store
/// serves all data centres and slows down in proportion beyond a number of concurrent loads that it
/// does not publish. More loads then increase the load time without increasing the throughput,
/// until calls time out before their adapter is loaded. The window grows while loads take about the
/// shortest time observed and shrinks when they take longer. Has no clock and does no I/O.
class load_window {
public:
    /// Sets the number of engines that share the window.
    void set_engines(std::size_t count);

    /// Records that a load from the store completed after `took`.
    void on_load_done(support::duration took, support::time_point now);

    [[nodiscard]] std::size_t limit() const;

    /// Returns the expected time of a load, a running mean.
    [[nodiscard]] support::duration expected() const { return mean_; }

    /// Assumed load time before the first sample; deployments specify 250 and 288 ms.
    static constexpr std::chrono::milliseconds usual_load_time{250};

private:
    [[nodiscard]] double min_loads() const;
    [[nodiscard]] double max_loads() const;

    std::size_t engines_ = 1;
    std::optional<double> loads_; ///< The window; empty until the first sample.
    std::optional<support::duration> shortest_;
    support::duration mean_ = usual_load_time;
    std::optional<support::time_point> last_shrink_;
};

} // namespace dragonflystair::fleet
