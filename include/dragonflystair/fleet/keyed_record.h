#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonflystair::fleet {

/// Largest era that is taken for one; a larger number was damaged on its way.
inline constexpr std::uint64_t max_store_era = 0x7fff'ffff;

/// Position in the log of a topic. A store that was restored from a copy has lost its newest
/// records and assigns their offsets again. It counts these restorations as its era, so that any
/// position of a later era is newer than all positions of earlier ones.
struct log_position {
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    friend auto operator<=>(const log_position&, const log_position&) = default;
};

/// Returns whether an era that a peer named can be true, given the era that this node knows; 0 if
/// it knows none. A restoration raises it by one, and a node misses few of them.
constexpr bool is_plausible_era(std::uint64_t named, std::uint64_t known) {
    constexpr std::uint64_t max_missed_restorations = 16;
    return known == 0 || named <= known + max_missed_restorations;
}

/// One record of a compacted topic, which keeps the newest value of each key.
struct keyed_record {
    std::string key;
    std::optional<std::string> value; ///< Empty for a tombstone, which deletes the key.
    std::uint64_t offset = 0;
    /// Concluded from a list of the newest records or kept from an earlier era, and not read at the
    /// offset: a record that is read there is newer.
    bool inferred = false;
};

/// Records of a topic in the order of their offsets.
struct keyed_page {
    std::vector<keyed_record> records;
    std::uint64_t next = 0; ///< Offset after the last record that was read.
    std::uint64_t from = 0; ///< First offset covered; a copy that ends before it has a gap.
    std::uint64_t era = 0;  ///< Era of the offsets.
    bool at_end = false;    ///< The log had no further records when the store answered.
};

} // namespace dragonflystair::fleet
