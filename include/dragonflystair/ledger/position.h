#pragma once

#include <cassert>
#include <cstdint>

namespace dragonflystair::ledger {

/// Place of a record in a stream: its append's offset times `max_records_per_append` plus its
/// index. Session ids, revisions and fencing numbers are positions. 0 means "none".
using position = std::uint64_t;

inline constexpr std::uint64_t max_records_per_append = 4096;

/// Offsets of the log service start at 0, so positions are shifted by one append.
inline position make_position(std::uint64_t offset, std::uint64_t index) {
    assert(index < max_records_per_append && "an append holds at most 4,096 records");
    return (offset + 1) * max_records_per_append + index;
}

/// Offset of the append that holds the record at `place`.
inline std::uint64_t offset_of(position place) {
    return place / max_records_per_append - 1;
}

} // namespace dragonflystair::ledger
