#include "dragonflystair/support/time.h"

#include <ctime>

namespace dragonflystair::support {

time_point boot_clock::now() noexcept {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point{std::chrono::seconds{now.tv_sec} + std::chrono::nanoseconds{now.tv_nsec}};
}

} // namespace dragonflystair::support
