#pragma once

#include <cassert>
#include <cstdint>

namespace dragonflystair::ledger {

/// Position of a record in a stream: its append's offset, counted from 1, times
/// `max_records_per_append`, plus its index within the append. Session ids, revisions and fencing
/// numbers are positions. 0 means "none".
using position = std::uint64_t;

inline constexpr std::uint64_t max_records_per_append = 4096;

/// Offsets of the log service start at 0, so positions are shifted by one append to leave 0 free
/// for "none".
inline position make_position(std::uint64_t offset, std::uint64_t index) {
    assert(index < max_records_per_append && "an append contains at most 4,096 records");
    return (offset + 1) * max_records_per_append + index;
}

/// Returns the offset of the append that contains the record at `at`.
inline std::uint64_t offset_of(position at) {
    return at / max_records_per_append - 1;
}

} // namespace dragonflystair::ledger
