#pragma once

#include "dragonflystair/support/time.h"

#include <cstddef>
#include <cstdint>
#include <random>
#include <span>

namespace dragonflystair::fleet {

/// Chooses between endpoints whose loads are known from reports only. It draws two of the endpoints
/// that may be the best within the uncertainty of the reports and takes the less costly of them.
///
/// Load pattern it is designed for: many nodes with the same reports, whose calls would all go to
/// the endpoint of least cost until the next report. Has no clock and does no I/O.
class balanced_choice {
public:
    struct candidate {
        double cost_ms = 0;          ///< At the reported load.
        double cost_per_call_ms = 0; ///< Increase of the cost with each further call.
        std::size_t calls = 0;       ///< Reported number of calls of other nodes.
        support::duration report_age{};
        double speed = 1; ///< Relative to the service's mean.
    };

    /// Nodes with different seeds make different choices.
    explicit balanced_choice(std::uint64_t seed) : random_(seed) {}

    /// Returns the index of the chosen candidate, of which there must be one at least.
    std::size_t choose(std::span<const candidate> candidates);

private:
    std::mt19937_64 random_;
};

} // namespace dragonflystair::fleet
