#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

/// One record of a compacted topic, which keeps the newest value of each key.
struct keyed_record {
    std::string key;
    std::optional<std::string> value; ///< Empty for a tombstone, which deletes the key.
    std::uint64_t offset = 0;
};

/// Records of a topic in the order of their offsets.
struct keyed_page {
    std::vector<keyed_record> records;
    std::uint64_t next = 0; ///< Offset after the last record that was read.
    std::uint64_t from = 0; ///< First offset covered; a copy that ends before it has a gap.
};

} // namespace dragonflystair::fleet
