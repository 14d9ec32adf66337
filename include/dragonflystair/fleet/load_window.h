#pragma once

#include "dragonflystair/support/time.h"

#include <cstddef>
#include <optional>

namespace dragonflystair::fleet {

/// How many adapters the engines of one data centre may fetch from the store at once.
///
/// Load pattern it answers: a burst of rare adapters, as after a shift of demand. The store serves
/// all data centres and slows down in proportion beyond a number of loads that it does not tell.
/// More loads then make each one longer without more of them coming through, until calls give up
/// before their adapter is there. The window grows while loads take about the shortest time seen
/// and shrinks when they take longer. Pure.
class load_window {
public:
    /// Engines that share the window.
    void set_engines(std::size_t count);

    /// A load from the store is done after `took`.
    void on_load_done(support::duration took, support::time_point now);

    [[nodiscard]] std::size_t limit() const;

    /// Time that a load takes now, a running mean.
    [[nodiscard]] support::duration expected() const { return mean_; }

    /// Time that loads take before the first was measured; the deployments state 250 and 288 ms.
    static constexpr std::chrono::milliseconds usual_load_time{250};

private:
    [[nodiscard]] double lowest() const;
    [[nodiscard]] double highest() const;

    std::size_t engines_ = 1;
    std::optional<double> loads_; ///< The window; unset until something was measured.
    std::optional<support::duration> shortest_;
    support::duration mean_ = usual_load_time;
    std::optional<support::time_point> shrunk_;
};

} // namespace dragonflystair::fleet
