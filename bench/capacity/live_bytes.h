#pragma once

#include <cstddef>
#include <malloc.h>

namespace bench {

/// Bytes that the heap holds for the program now, with the allocator's rounding. The benches run
/// on one thread, so the difference of two calls is what was kept between them.
inline std::size_t live_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace bench
