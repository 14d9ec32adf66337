#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

/// One record of a topic that keeps the newest value of each key.
struct keyed_record {
    std::string key;
    std::optional<std::string> value; ///< Nothing drops the key.
    std::uint64_t offset = 0;
};

/// Records of a topic in the order of their offsets.
struct keyed_page {
    std::vector<keyed_record> records;
    std::uint64_t next = 0; ///< Offset after the last record that was looked at.
    std::uint64_t from = 0; ///< Offset of the first one; a copy that ends before it lacks some.
};

} // namespace dragonflystair::fleet
