#pragma once

#include <cstddef>
#include <malloc.h>

namespace bench {

/// Returns the bytes currently allocated on the heap, including the allocator's rounding. The
/// benchmarks are single-threaded, so the difference between two calls is the memory retained
/// between them.
inline std::size_t live_bytes() {
    const auto info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace bench
