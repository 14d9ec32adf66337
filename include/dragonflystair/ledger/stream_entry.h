#pragma once

#include "dragonflystair/ledger/records.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonflystair::ledger {

/// One append as read from a stream. `sequence` increases by one per append of a writer to a
/// stream.
struct stream_entry {
    std::uint64_t offset = 0;
    std::string writer;
    std::uint64_t sequence = 0;
    support::json payload;
};

} // namespace dragonflystair::ledger
