#pragma once

#include <chrono>
#include <functional>

namespace dragonflystair::support {

/// Clock that advances while the VM is suspended (CLOCK_BOOTTIME), so that a lease also expires
/// during a suspension. Its time points are never compared between VMs.
struct boot_clock {
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

/// Source of the current time; tests pass a manual clock.
using time_source = std::function<time_point()>;

} // namespace dragonflystair::support
